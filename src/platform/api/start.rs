use serde::Serialize;

/// Request to start a run.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Start<'a> {
    pub(super) task: String,
    pub(super) run: u64,
    pub(super) spec: &'a str,
    /// End of the lease of the run on the clock of the worker.
    pub(super) deadline_ms: u64,
    pub(super) fence_token: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) checkpoint: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) ticket: Option<&'a str>,
}
