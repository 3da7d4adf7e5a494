/// Counters of a job that was accepted by an earlier holder of its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of the latest run.
    pub run: u32,
    /// Failures that count against the job.
    pub failures: u32,
    /// Runs lost with their worker.
    pub losses: u32,
    /// Whether progress was saved.
    pub checkpointed: bool,
}
