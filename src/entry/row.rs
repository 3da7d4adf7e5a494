use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::batch::Busy;

/// Tables of the system in the platform's store.
pub(super) const JOBS: &str = "jobs";
pub(super) const PROGRESS: &str = "progress";
pub(super) const TERMS: &str = "terms";
pub(super) const LEADERS: &str = "leaders";

/// Key of the single row in [`LEADERS`], and of the row of each partition in [`TERMS`].
pub(super) const OWNER: &str = "owner";

/// Start of the keys of [`Handover`] in [`LEADERS`].
const HANDOVER: &str = "runs/";

/// Tasks and workers in one [`Handover`]. Each takes up to 200 bytes of the 64 KiB of a row.
const TASKS_PER_ROW: usize = 200;

/// End of the keys of cancellations in [`JOBS`].
const CANCEL: &str = ".cancel";

/// Returns the key of the cancellation of a job.
pub(super) fn cancel_key(job: &str) -> String {
    format!("{job}{CANCEL}")
}

/// Returns the job that a key of a cancellation names.
pub(super) fn cancelled_job(key: &str) -> Option<&str> {
    key.strip_suffix(CANCEL)
}

/// Row of the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Leader {
    /// Name of the instance that leads.
    pub(super) holder: Arc<str>,
    /// Start of its process, which tells two processes of one name apart.
    pub(super) incarnation: u64,
    /// Fencing token.
    pub(super) token: u64,
    /// Number of the renewal.
    pub(super) renewal: u64,
    /// Clock of the store when the renewal was sent, in milliseconds; 0 when it was not known.
    pub(super) renewed_ms: u64,
    /// Whether the leader gave up by itself.
    pub(super) vacant: bool,
    /// Jobs that wait, by queue.
    pub(super) pending: Vec<(Arc<str>, u64)>,
    /// Workers with runs that do not answer.
    pub(super) busy: Vec<Busy>,
    /// Machines that are lent, with their pools.
    pub(super) homes: Vec<(Arc<str>, Arc<str>)>,
    /// Machines whose maintenance has begun, by wave.
    pub(super) maintained: Vec<(u64, Vec<Arc<str>>)>,
}

/// Row with a part of the list of runs that a leader leaves when it resigns: the list of a large
/// fleet is longer than a row may be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Handover {
    /// Fencing token of the leader that resigned.
    pub(super) token: u64,
    /// Workers that may have runs.
    pub(super) busy: Vec<Busy>,
}

impl Handover {
    /// Divides a list into rows.
    pub(super) fn divide(token: u64, busy: &[Busy]) -> Vec<(String, Vec<u8>)> {
        let mut rows = Vec::new();
        let mut row = Self {
            token,
            busy: Vec::new(),
        };
        let mut tasks = 0;
        for worker in busy {
            row.busy.push(worker.clone());
            tasks += 1 + worker.tasks.len();
            if tasks >= TASKS_PER_ROW {
                rows.push(std::mem::take(&mut row.busy));
                tasks = 0;
            }
        }
        rows.push(row.busy);
        let key = |number: usize| format!("{HANDOVER}{number}");
        let encode = |busy| encode(&Self { token, busy });
        let rows = rows.into_iter().enumerate();
        rows.map(|(number, busy)| (key(number), encode(busy)))
            .collect()
    }
}

/// Returns whether a key in [`LEADERS`] is that of a [`Handover`].
pub(super) fn is_handover(key: &str) -> bool {
    key.starts_with(HANDOVER)
}

/// Row that fences the writes to one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Fence {
    /// Fencing token of the leader that wrote last.
    pub(super) token: u64,
    /// Number of its write.
    pub(super) write: u64,
}

/// Encodes a row.
pub(super) fn encode(row: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(row).expect("rows of the system can be encoded")
}

/// Decodes a row; another writer may have left anything there.
pub(super) fn decode<'a, T: Deserialize<'a>>(key: &str, content: &'a [u8]) -> Option<T> {
    serde_json::from_slice(content)
        .inspect_err(|error| log::error!(event = "row-unreadable", key, error:% = error; ""))
        .ok()
}
