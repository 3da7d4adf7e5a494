/// Where the rows of a job are, as far as they were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Version of the row of the job in its partition of jobs; 0 if there is none.
    pub version: u64,
    /// Whether an instance of an earlier version has stored a row in the partition of progress.
    pub is_earlier: bool,
}
