use tokio::sync::Notify;

/// Signals between the scheduler, the poll and the orders of one worker.
#[derive(Default)]
pub(super) struct Signals {
    /// Notified when a poll may be due.
    pub(super) due: Notify,
    /// Notified when a poll was answered or has failed.
    pub(super) answered: Notify,
    /// Notified when only another poll can show whether a run is present.
    pub(super) unverified: Notify,
}
