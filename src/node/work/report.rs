use std::sync::Arc;

use serde::Deserialize;

use super::resources::Resources;

/// Report of a worker about one run.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Report {
    pub(super) id: Arc<str>,
    pub(super) shard: Arc<str>,
    pub(super) status: Status,
    pub(super) usage: Resources,
    pub(super) done_ms: u64,
}

/// State of a run on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Status {
    Running,
    Succeeded,
    Failed,
    Checkpointed,
    Stopped,
    Expired,
}
