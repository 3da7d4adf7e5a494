use super::Evicted;

/// Failure to read the body of a request. The request has not run.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The connection is closed in favour of others.
    #[error(transparent)]
    Evicted(#[from] Evicted),
    /// The body is longer than the limit.
    #[error("step=read-body peer=caller reason=too-long")]
    TooLong,
    /// The client broke off.
    #[error("step=read-body peer=caller reason={0}")]
    Broken(#[from] hyper::Error),
}
