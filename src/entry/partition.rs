/// Number of partitions over which jobs are spread. One partition takes 150 transactions a second.
const PARTITIONS: u8 = 2;

/// Returns the names of all partitions of jobs.
pub(super) fn all() -> impl Iterator<Item = String> {
    (0..PARTITIONS).map(name)
}

/// Returns the name of the partition of a job.
pub(super) fn of(job: &str) -> String {
    let sum = job.bytes().fold(0u8, u8::wrapping_add);
    name(sum % PARTITIONS)
}

fn name(number: u8) -> String {
    format!("j{number}")
}
