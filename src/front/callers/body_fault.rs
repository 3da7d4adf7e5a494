/// Failure of a request body, after which the target gets an aborted request.
#[derive(Debug, thiserror::Error)]
pub(super) enum Fault {
    /// The body is longer than the service allows.
    #[error("step=read-body peer=caller reason=too-large")]
    TooLarge,
    /// The caller sent nothing for too long.
    #[error("step=read-body peer=caller reason=timeout")]
    Slow,
    /// The caller broke off.
    #[error("step=read-body peer=caller reason={0}")]
    Broken(#[from] hyper::Error),
}
