use std::sync::Arc;

use super::report::Report;
use crate::jobs::Size;

/// Event that the client of a worker sends to the task of its queue.
pub(super) enum Event {
    /// The worker has this size and rejects requests of earlier holders from now on.
    Ready(Size),
    /// The worker has the run.
    Started(Arc<str>),
    /// The run provably did not start.
    Refused(Arc<str>),
    /// The run is provably not on the worker, or its lease has lapsed.
    Gone(Arc<str>),
    /// The worker reported the state of a run.
    Report(Report),
    /// Whether the worker responds.
    Reachable(bool),
    /// The worker has received a newer fencing token, so another instance holds the queue.
    Superseded,
}
