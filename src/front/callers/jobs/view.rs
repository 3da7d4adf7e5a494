use std::sync::Arc;

use serde::Serialize;

use crate::jobs::{Reason, Record, Size, State};
use crate::platform::Row;

/// A job as its caller sees it.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct View {
    id: String,
    queue: String,
    pub(super) workspace: Arc<str>,
    kind: Arc<str>,
    size: Size,
    urgent: bool,
    state: State,
    reason: Reason,
    /// Number of runs begun so far.
    runs: u32,
    failures: u32,
    worker: Option<Arc<str>>,
    submitted_ms: u64,
    changed_ms: u64,
    stop_requested: bool,
}

impl View {
    pub(super) fn read(queue: &str, row: &Row) -> Option<Self> {
        let (_, id) = row.key.rsplit_once('/')?;
        let record: Record = serde_json::from_str(&row.value).ok()?;
        Some(Self {
            id: format!("{queue}.{id}"),
            queue: queue.to_owned(),
            workspace: record.workspace,
            kind: record.kind,
            size: record.size,
            urgent: record.urgent,
            state: record.state,
            reason: record.reason,
            runs: record.run,
            failures: record.failures,
            worker: record.worker,
            submitted_ms: record.submitted,
            changed_ms: record.changed,
            stop_requested: record.cancel,
        })
    }
}
