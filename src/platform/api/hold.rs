use serde::Serialize;

/// Look at a worker, which also renews the lease of its runs.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Hold {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) deadline_ms: Option<u64>,
    pub(super) fence_token: u64,
    pub(super) ack_position: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) wait_ms: Option<u64>,
}
