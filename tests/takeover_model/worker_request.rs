use coriandernotch::batch::{Launch, RunKey, TaskId};

/// Content of a call to a worker.
#[derive(Clone, Debug)]
pub(crate) enum WorkerRequest {
    Poll {
        /// Deadline of the lease on the clock of the worker.
        deadline_ms: Option<u64>,
        /// Position up to which ends are acknowledged.
        acknowledged: u64,
    },
    Start {
        run: RunKey,
        launch: Launch,
        deadline_ms: u64,
    },
    Stop {
        task: TaskId,
        number: u64,
        /// Number of earlier attempts.
        attempt: u32,
    },
}
