/// Result of submitting a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Acceptance {
    /// The job is stored, by this request or an earlier one.
    Stored,
    /// The job is not stored and this request will not store it.
    Refused,
    /// The job was cancelled before it was stored, so that no request will store it.
    Cancelled,
    /// The job may be stored already or may be stored later.
    Unknown,
}
