use crate::key::Key;

/// Number of partitions of jobs.
pub(crate) const PARTITIONS: u8 = 2;

/// Returns the key of the job with an index.
pub(crate) fn job_key(index: usize) -> Key {
    let part = (index % usize::from(PARTITIONS)) as u8;
    Key::Job(part, format!("j{part}-{index}").into())
}

/// Returns the partition of a job.
pub(crate) fn partition_of(id: &str) -> u8 {
    u8::from(id.starts_with("j1"))
}
