/// Stage of a loan at its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Requested; no reply yet.
    Asked,
    /// Granted.
    Held,
    /// Not renewed any more; kept only until its running units end.
    Closing,
}
