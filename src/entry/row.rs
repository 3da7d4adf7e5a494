use serde::{Deserialize, Serialize};

/// Table of jobs and cancellations in the store of the platform.
pub(super) const JOBS: &str = "jobs";
/// Table of the progress of jobs.
pub(super) const PROGRESS: &str = "progress";
/// Table of the rows that fence the partitions.
pub(super) const TERMS: &str = "terms";
/// Table of the leader row and of the runs that a leader hands over.
pub(super) const LEADERS: &str = "leaders";

/// Table of the workers on which the leader starts tasks.
pub(super) const MEMBERS: &str = "members";

/// Table of the parts of the lists of the leader row. Instances follow the changes of [`LEADERS`],
/// and only one that takes over needs the parts.
pub(super) const LISTS: &str = "lists";

/// Key of the leader row in [`LEADERS`], and of the fence row of each partition in [`TERMS`].
pub(super) const OWNER_KEY: &str = "owner";

/// Table of the learned run times. Instances follow the changes of [`LEADERS`], and only one that
/// takes over needs these.
pub(super) const ESTIMATES: &str = "estimates";

/// Key of the row of learned run times in [`ESTIMATES`].
pub(super) const ESTIMATES_KEY: &str = "learned";
/// Key of the outlook in [`LEADERS`], written by the leader.
pub(super) const OUTLOOK_KEY: &str = "outlook";

/// Suffix of the keys of cancellations in [`JOBS`].
const CANCEL_SUFFIX: &str = ".cancel";

/// Returns the key of the cancellation of a job.
pub(super) fn cancel_key(job: &str) -> String {
    format!("{job}{CANCEL_SUFFIX}")
}

/// Returns the smallest key after those of a job and of its cancellation, as far as jobs have names
/// of letters and digits.
pub(super) fn end_key(job: &str) -> String {
    format!("{job}/")
}

/// Returns the job that the key of a cancellation names, or `None` for another key.
pub(super) fn cancelled_job(key: &str) -> Option<&str> {
    key.strip_suffix(CANCEL_SUFFIX)
}

/// Returns the key of a part of the lists of the leader row in [`LISTS`].
pub(super) fn part_key(position: u32) -> String {
    format!("part/{position}")
}

/// Encodes the content of a row.
pub(super) fn encode(row: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(row).expect("row types serialise to JSON")
}

/// Decodes the content of a row. `None` if it is invalid, since other writers use the store too.
pub(super) fn decode<'a, T: Deserialize<'a>>(key: &str, content: &'a [u8]) -> Option<T> {
    serde_json::from_slice(content)
        .inspect_err(|error| log::error!(event = "row-unreadable", key, error:% = error; ""))
        .ok()
}
