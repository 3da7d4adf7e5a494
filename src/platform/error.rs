use std::sync::Arc;

/// Failure of a platform call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The request provably had no effect because the service was not reached or refused it.
    #[error("platform step={step} peer={peer} state=unavailable reason={reason:?}")]
    Unavailable {
        /// What was attempted.
        step: &'static str,
        /// Service address.
        peer: Arc<str>,
        /// Cause.
        reason: String,
    },
    /// The answer was lost; a write may have taken effect.
    #[error("platform step={step} peer={peer} state=unknown reason={reason:?}")]
    Unknown {
        /// What was attempted.
        step: &'static str,
        /// Service address.
        peer: Arc<str>,
        /// Cause.
        reason: String,
    },
    /// A condition of a transaction failed, so none of its writes took effect.
    #[error("platform step=transact state=conflict key={key}")]
    Conflict {
        /// First row whose condition failed.
        key: Arc<str>,
    },
}
