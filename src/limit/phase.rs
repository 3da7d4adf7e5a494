/// State of a loan at its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Requested; no reply has arrived.
    Requested,
    /// Granted by the lender.
    Active,
    /// No longer renewed; kept only until its running units end.
    Closing,
}
