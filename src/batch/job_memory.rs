use serde::{Deserialize, Serialize};

/// Largest memory of a small job in bytes.
const SMALL_BYTES: u64 = 64 << 10;

/// Memory in bytes that jobs in progress need at the leader.
///
/// ```
/// use coriandernotch::batch::JobMemory;
///
/// let mut sum = JobMemory::of(1 << 10);
/// sum.add(JobMemory::of(1 << 20));
/// assert_eq!((sum.small, sum.large), (1 << 10, 1 << 20));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct JobMemory {
    /// Memory of jobs that need at most 64 KiB each.
    pub small: u64,
    /// Memory of the others.
    pub large: u64,
}

impl JobMemory {
    /// Returns the memory of one job that needs `bytes`.
    pub fn of(bytes: usize) -> Self {
        let bytes = bytes as u64;
        match bytes <= SMALL_BYTES {
            true => Self {
                small: bytes,
                large: 0,
            },
            false => Self {
                small: 0,
                large: bytes,
            },
        }
    }

    /// Adds the memory of other jobs.
    pub fn add(&mut self, other: Self) {
        self.small = self.small.saturating_add(other.small);
        self.large = self.large.saturating_add(other.large);
    }

    /// Subtracts the memory of jobs that were added.
    pub fn subtract(&mut self, other: Self) {
        self.small = self.small.saturating_sub(other.small);
        self.large = self.large.saturating_sub(other.large);
    }
}
