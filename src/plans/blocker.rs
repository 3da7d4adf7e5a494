use crate::pools::Refusal;

/// Reason why a plan starts no drain now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Blocker {
    /// Every instance was maintained in this period.
    #[error("done")]
    Done,
    /// Paused by an operator or by the document.
    #[error("paused")]
    Paused,
    /// Withdrawn by an operator.
    #[error("withdrawn")]
    Withdrawn,
    /// The window is closed, or too little of it remains for one more instance.
    #[error("window opens={opens_at}")]
    Window {
        /// When the window opens next, in seconds since 1970.
        opens_at: u64,
    },
    /// Too many calls to the pool fail.
    #[error("health")]
    Unhealthy,
    /// The budget is used up, or too few spare instances remain to cover the next failure.
    #[error("budget {0}")]
    Budget(Refusal),
    /// Every instance that is due is in maintenance, moving, down, or recently failed to drain.
    #[error("instances busy")]
    Busy,
    /// The pool does not exist.
    #[error("pool does not exist")]
    UnknownPool,
}
