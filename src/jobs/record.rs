use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Reason, Size, State};
use crate::fleet::Digest;

/// A job as stored in the row `jobs/{queue}/{id}`.
///
/// A submission or cancellation also writes the row `news/{queue}/{id}` in the same transaction.
/// The holder of the queue reads and deletes that row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Record {
    /// Name of the workspace that the job is charged to.
    pub workspace: Arc<str>,
    /// Kind of job within the workspace.
    pub kind: Arc<str>,
    /// Resources that the caller declared.
    pub size: Size,
    /// Whether the job must start within 1.3 s.
    pub urgent: bool,
    /// Whether the job can save its progress.
    pub checkpoints: bool,
    /// Description of the task, passed to the worker unchanged.
    pub payload: serde_json::Value,
    /// Digest of the submission, which distinguishes a repeated submission from a different job
    /// with the same idempotency key.
    pub request: Digest,
    /// Current state.
    pub state: State,
    /// Why it is in that state.
    pub reason: Reason,
    /// When it was submitted, in milliseconds since 1970.
    pub submitted: u64,
    /// When its state last changed, in milliseconds since 1970.
    pub changed: u64,
    /// Number of the current or latest run.
    pub run: u32,
    /// Failures that count against the job.
    pub failures: u32,
    /// Runs lost with their worker.
    pub losses: u32,
    /// Worker on which the current run may be.
    pub worker: Option<Arc<str>>,
    /// Progress saved by checkpoints, in milliseconds of work at full speed.
    pub done_ms: u64,
    /// Whether its caller requested its cancellation.
    pub cancel: bool,
}

impl Record {
    /// Returns the prefix of the keys of the jobs of a queue.
    ///
    /// ```
    /// use coriandernotch::jobs::Record;
    ///
    /// assert!(Record::key("free", "7").starts_with(&Record::prefix("free")));
    /// ```
    pub fn prefix(queue: &str) -> String {
        format!("jobs/{queue}/")
    }

    /// Returns the key of a job.
    pub fn key(queue: &str, id: &str) -> String {
        format!("jobs/{queue}/{id}")
    }

    /// Returns the prefix of the keys of the rows that announce changes to the jobs of a queue.
    ///
    /// ```
    /// use coriandernotch::jobs::Record;
    ///
    /// assert!(Record::change_key("free", "7").starts_with(&Record::change_prefix("free")));
    /// ```
    pub fn change_prefix(queue: &str) -> String {
        format!("news/{queue}/")
    }

    /// Returns the key of the row that announces a change to a job.
    pub fn change_key(queue: &str, id: &str) -> String {
        format!("news/{queue}/{id}")
    }

    /// Serialises the record as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a record has only string keys")
    }

    /// Sets the state and its reason, and the time of the change.
    pub fn set_state(&mut self, state: State, reason: Reason) {
        self.state = state;
        self.reason = reason;
        self.changed = unix_time_ms();
    }
}

/// Returns the time of the system clock in milliseconds since 1970, for stored times only:
/// scheduling uses the monotonic clock.
///
/// ```
/// assert!(coriandernotch::jobs::unix_time_ms() > 0);
/// ```
pub fn unix_time_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |duration| {
        u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
    })
}
