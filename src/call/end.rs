/// Whether the work of a call has provably ended on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer arrived, or nothing was sent.
    Proved,
    /// The target may still be running it until the longest run has passed.
    Unproved,
}
