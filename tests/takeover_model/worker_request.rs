use coriandernotch::batch::{Launch, Renewal, RunKey, TaskId};

/// Content of a call to a worker.
#[derive(Clone, Debug)]
pub(crate) enum WorkerRequest {
    Poll(Renewal),
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
