use std::time::Duration;

/// Reason for refusing a call before it was run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The queue of the workspace at this instance is full.
    QueueFull,
    /// The call is not expected to end by its deadline.
    DeadlineUnmeetable,
    /// The deadline passed while the call waited.
    DeadlinePassed,
    /// No target of the service accepts calls.
    NoTarget,
    /// The configuration of this instance may be out of date.
    Stale,
    /// The instance is shutting down.
    ShuttingDown,
    /// The API key was withdrawn, or the service or workspace removed, while the call waited.
    Withdrawn,
    /// The limit of running calls of the workspace is zero, or fully used beyond the deadline.
    LimitReached,
    /// The claim for the idempotency key cannot be written.
    IdempotencyUnavailable,
    /// The table service cannot be read or written.
    StoreUnavailable,
    /// The instance has no memory or descriptors left for another call.
    Overloaded,
    /// The target could not be reached and the retry budget is spent.
    Unreachable,
}

impl Refusal {
    /// Returns the HTTP status code of the refusal.
    ///
    /// ```
    /// use coriandernotch::admit::Refusal;
    ///
    /// assert_eq!(Refusal::QueueFull.status(), 429);
    /// ```
    pub fn status(self) -> u16 {
        match self {
            Self::QueueFull | Self::LimitReached => 429,
            Self::Withdrawn => 401,
            _ => 503,
        }
    }

    /// Returns how long a caller should wait before it retries.
    ///
    /// ```
    /// use coriandernotch::admit::Refusal;
    ///
    /// assert!(Refusal::Stale.retry_after().as_secs() >= 1);
    /// ```
    pub fn retry_after(self) -> Duration {
        match self {
            Self::Stale | Self::IdempotencyUnavailable => Duration::from_secs(3),
            _ => Duration::from_secs(1),
        }
    }
}
