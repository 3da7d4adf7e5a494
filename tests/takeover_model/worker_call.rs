use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::WorkerKey;
use coriandernotch::clock::Instant;

use crate::process::Process;
use crate::worker_request::WorkerRequest;

/// A call of a leader to a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerCall {
    pub(crate) process: Process,
    pub(crate) token: u64,
    /// Key of the worker in the engine of the leader.
    pub(crate) key: WorkerKey,
    /// Index of the worker that has the address.
    pub(crate) worker: usize,
    /// Id of the worker process that is meant.
    pub(crate) id: Arc<str>,
    pub(crate) request: WorkerRequest,
    /// When its connection was opened, and whether that was for this call. A new connection leads to
    /// the process that runs when the call arrives.
    pub(crate) opened_at: Instant,
    pub(crate) opens: bool,
    /// Time that the answer may take.
    pub(crate) timeout: Duration,
    pub(crate) sent: Instant,
    /// Wall-clock time of that moment, in milliseconds since 1970.
    pub(crate) sent_ms: u64,
}
