use std::sync::Arc;

use super::{Operation, Revision};

/// Result of a commit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Outcome {
    #[error("accepted version={}", .0.head.version)]
    /// The write took effect. Holds the revision that it created, or the current one if a fence has
    /// rewritten that since; a later change may already have replaced it.
    Accepted(Revision),
    #[error("conflict version={}", .0.head.version)]
    /// Another change was written first and nothing of this one; holds the current revision.
    Conflict(Revision),
    #[error("refused {0}")]
    /// The change was not written and will not be.
    Refused(Reason),
    #[error("unknown operation={0}")]
    /// The write may have taken effect or may still do so; holds the attempt.
    Unknown(Operation),
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// Too few voters acknowledged the proposal.
    #[error("step=prepare acknowledged={acknowledged} needed={needed}")]
    NoMajority {
        /// Number of voters that acknowledged.
        acknowledged: usize,
        /// Number of voters that had to acknowledge.
        needed: usize,
    },
    /// Another instance waited too long for the result and fenced the write; the change may be
    /// retried.
    #[error("step=write state=fenced")]
    Fenced,
    /// The store could not be reached, or refused the write.
    #[error("step=write state=unavailable cause={0:?}")]
    Unavailable(Arc<str>),
    /// The head row does not contain a valid head.
    #[error("step=read state=malformed cause={0:?}")]
    Malformed(Arc<str>),
}
