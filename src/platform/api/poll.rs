use serde::Serialize;

/// Request for the runs of a worker, which also renews their leases.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Poll {
    /// New end of the leases on the clock of the worker; `None` renews nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) deadline_ms: Option<u64>,
    pub(super) fence_token: u64,
    /// Position up to which ended runs are acknowledged.
    pub(super) ack_position: u64,
    /// Longest time to wait for a run to end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) wait_ms: Option<u64>,
}
