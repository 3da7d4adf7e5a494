/// Reason why a permit was not issued or may no longer be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Denial {
    /// The workspace has no limit in the version in force.
    #[error("the workspace is not in the version in force")]
    UnknownWorkspace,
    /// All permits at this instance are in use or lent; more may be borrowed.
    #[error("all permits of the workspace at this instance are in use")]
    Exhausted,
    /// The quota was reduced after the permit was taken, and more permits are in use or lent than
    /// it allows.
    #[error("the quota of the instance was reduced below the permits in use")]
    Shrunk,
    /// The loan expired, was reduced, or was granted without knowledge of a change that moved
    /// permits between instances.
    #[error("the loan that the permit was taken from can no longer be used")]
    Lapsed,
    /// The instance is shutting down.
    #[error("the instance is shutting down")]
    #[strum(serialize = "retired")]
    ShuttingDown,
}
