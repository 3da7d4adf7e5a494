use strum::IntoStaticStr;

/// What a leader does after a conflict of its write to a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Resolution {
    /// The write is stored already: an earlier attempt was applied, but its response was lost.
    Stored,
    /// The write is not stored; it is sent again with the fence row that was read.
    Resend,
    /// A newer leader writes to the partition.
    Superseded,
}
