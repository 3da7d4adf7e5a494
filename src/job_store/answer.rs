use super::SubmissionKey;

/// Answer of the store to a transaction that stores jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All jobs are stored.
    Applied,
    /// Nothing was done, because of rows that exist.
    Conflict {
        /// Jobs that are already stored.
        stored: Vec<SubmissionKey>,
        /// Jobs that were cancelled and are not stored.
        cancelled: Vec<SubmissionKey>,
    },
    /// Nothing was done, and the same transaction may be applied later.
    Busy,
    /// Nothing was done, and the store will not apply this transaction.
    Rejected,
    /// The jobs may be stored already or may be stored later.
    Unknown,
}
