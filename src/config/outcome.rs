use std::sync::Arc;

use super::{Operation, Revision};

/// Result of a commit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Outcome {
    #[error("accepted version={}", .0.head.version)]
    /// The write took effect as this revision, or as an older one that was since replaced.
    Accepted(Revision),
    #[error("conflict version={}", .0.head.version)]
    /// Another change came first; nothing was written.
    Conflict(Revision),
    #[error("refused {0}")]
    /// Nothing was written and nothing will be.
    Refused(Reason),
    #[error("unknown operation={0}")]
    /// The write may have taken effect or may still do so.
    Unknown(Operation),
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// Too few voters acknowledged.
    #[error("step=prepare acknowledged={acknowledged} needed={needed}")]
    NoMajority {
        /// Voters that acknowledged.
        acknowledged: usize,
        /// Voters that had to.
        needed: usize,
    },
    /// Instances that waited for the result too long fenced it off; it may be tried again.
    #[error("step=write state=fenced")]
    Fenced,
    /// The store could not be reached, or refused the write.
    #[error("step=write state=unavailable cause={0:?}")]
    Unavailable(Arc<str>),
    /// The head row cannot be read as a head.
    #[error("step=read state=malformed cause={0:?}")]
    Malformed(Arc<str>),
}
