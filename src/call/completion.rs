/// Whether a call is known to have ended on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The complete answer arrived, or nothing was sent.
    Confirmed,
    /// The target may still be running the call, until the longest run of a call has passed.
    Unconfirmed,
}
