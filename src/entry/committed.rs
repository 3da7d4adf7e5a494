/// Result of handing in a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Committed {
    /// It is stored, now or since an earlier request.
    Stored,
    /// It is not stored and will not be.
    Refused,
    /// It may be stored later.
    Unknown,
}
