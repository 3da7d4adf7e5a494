/// Partitions over which jobs are spread. One partition takes 150 transactions a second.
const PARTS: u8 = 2;

/// Returns the names of all partitions of jobs.
pub(super) fn all() -> impl Iterator<Item = String> {
    (0..PARTS).map(name)
}

/// Returns the partition of a job.
pub(super) fn of(job: &str) -> String {
    let sum = job.bytes().fold(0u8, u8::wrapping_add);
    name(sum % PARTS)
}

fn name(number: u8) -> String {
    format!("j{number}")
}
