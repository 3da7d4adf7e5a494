/// Why a job is accepted.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// It runs until it is cancelled.
    Lasting,
    /// It has start times.
    Scheduled,
    /// There is no outlook of the present leader, or nobody leads.
    NoOutlook,
    /// The outlook is too old, or its age is not known.
    OldOutlook,
    /// The queue has no backlog that matters.
    NoBacklog,
    /// It is expected to meet its objective.
    InTime,
    /// It may be late, and still useful.
    Useful,
    /// It is stored already, or may be.
    Repeated,
    /// The store did not show whether it is stored, or left other writes without an outcome.
    Unknown,
}
