use serde::{Deserialize, Serialize};

/// Why a job is in its state.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// Accepted from its caller.
    Submitted,
    /// Placed on a worker.
    Placed,
    /// The worker confirmed the start.
    Confirmed,
    /// The run succeeded.
    Completed,
    /// Checkpointed to free resources for a workspace below its fair share.
    Reclaimed,
    /// Checkpointed to make room for an urgent job.
    Preempted,
    /// Uses far more than is reserved for it, and its worker has no room for more.
    Outgrown,
    /// Its data centre was taken out of service or its worker is leaving.
    Moved,
    /// The run was lost with its worker, or stopped there.
    WorkerLost,
    /// The run failed and the job will be retried.
    Retried,
    /// Failed on several workers on which other jobs succeed.
    FailsEverywhere,
    /// Reached the maximum number of failures or of lost runs.
    AttemptsExhausted,
    /// Cancelled by its caller.
    ByCaller,
    /// Larger than any worker of the fleet.
    TooLarge,
    /// Declares zero processors.
    Empty,
    /// Too many jobs are waiting.
    QueueFull,
    /// The workspace is unknown.
    UnknownWorkspace,
    /// The workspace may not run any job: its limit is zero.
    LimitZero,
}
