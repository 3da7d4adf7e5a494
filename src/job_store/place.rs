/// Where the rows of a job are, as far as they were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Version of the row of the job in its partition of jobs; 0 if there is none.
    pub version: u64,
    /// Whether a row of the job or its cancellation is in the partition of its progress, where earlier
    /// versions store them.
    pub is_beside_progress: bool,
}
