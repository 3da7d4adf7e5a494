use std::sync::Arc;

use super::report::Report;
use crate::jobs::Size;

/// What the task of a worker tells the task of its queue.
pub(super) enum News {
    /// The worker rejects orders of earlier holders from now on, and has this size.
    Ready(Size),
    /// The run is on the worker.
    Started(Arc<str>),
    /// The run provably did not start.
    Refused(Arc<str>),
    /// The run is provably not on the worker, or its lease has lapsed.
    Gone(Arc<str>),
    /// State of a run.
    Report(Report),
    /// Whether the worker answers.
    Reachable(bool),
    /// The worker has heard of a newer holder.
    Older,
}
