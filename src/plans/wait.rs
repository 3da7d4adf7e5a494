use crate::pools::Refusal;

/// Why a plan starts nothing now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Wait {
    /// Every instance was maintained in this period.
    #[error("done")]
    Done,
    /// Operators hold it.
    #[error("paused")]
    Paused,
    /// Operators ended it.
    #[error("withdrawn")]
    Withdrawn,
    /// The window is closed, or too short for one more instance.
    #[error("window opens={opens}")]
    Window {
        /// When it opens, in seconds since 1970.
        opens: u64,
    },
    /// Calls to the pool fail.
    #[error("health")]
    Health,
    /// A budget, or the next failure that it must bear.
    #[error("budget {0}")]
    Budget(Refusal),
    /// All that remain are under way, down, or failed to drain a short while ago.
    #[error("instances busy")]
    Busy,
    /// The pool does not exist.
    #[error("pool does not exist")]
    Pool,
}
