use std::sync::Arc;

/// Failure of a platform call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The request had no effect: the service was not reached, refused it, or failed to answer a
    /// read.
    #[error("platform step={step} peer={peer} state=unavailable reason={reason:?}")]
    Unavailable {
        /// Name of the call, for example `transact`.
        step: &'static str,
        /// Address of the service.
        peer: Arc<str>,
        /// Description of the cause.
        reason: String,
    },
    /// The write may or may not have taken effect, because no valid response arrived.
    #[error("platform step={step} peer={peer} state=unknown reason={reason:?}")]
    Unknown {
        /// Name of the call, for example `transact`.
        step: &'static str,
        /// Address of the service.
        peer: Arc<str>,
        /// Description of the cause.
        reason: String,
    },
    /// A condition of a transaction failed, so none of its writes took effect, or the fencing token
    /// of a command is too old.
    #[error("platform step=transact state=conflict key={key}")]
    Conflict {
        /// Key of the first row whose condition failed, or the instance of a rejected command.
        key: Arc<str>,
    },
}
