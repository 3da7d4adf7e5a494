use coriandernotch::batch::{Reply, Snapshot};

/// What a leader learns of a call to a worker.
#[derive(Clone, Debug)]
pub(crate) enum WorkerAnswer {
    Snapshot(Snapshot),
    /// Outcome of a start, and the clock of the worker in milliseconds.
    Started(Reply, u64),
    Stopped,
    /// The worker has seen a newer leader.
    Fenced,
    /// Another process answers at the address.
    Replaced,
    /// The call was not sent. The connection may have been refused.
    Unsent,
    /// There is no answer.
    None,
}
