use serde::{Deserialize, Serialize};

/// Tables of the system in the platform's store.
pub(super) const JOBS: &str = "jobs";
pub(super) const PROGRESS: &str = "progress";
pub(super) const TERMS: &str = "terms";
pub(super) const LEADERS: &str = "leaders";

/// Key of the single row in [`LEADERS`], and of the row of each partition in [`TERMS`].
pub(super) const OWNER: &str = "owner";

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
