/// How the stand-in of the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Without faults.
    #[default]
    Normal,
    /// Refuses all calls with status 503 and has no effect.
    Unavailable,
    /// Refuses all calls with status 429 and has no effect.
    RateLimited,
    /// Refuses every other transaction of a partition with status 429.
    ShortOfWrites,
    /// Refuses some reads of rows with status 429, more than one of those of all partitions.
    ShortOfReads,
    /// Applies transactions but closes the connection without a response.
    ResponseLost,
    /// Sends no response to transactions that are applied, and keeps their connections open.
    Unanswered,
    /// Has no effect and sends no response.
    Unresponsive,
    /// Sends no response to transactions, which have no effect. All other calls are without faults.
    SilentWrites,
    /// Closes the connection and applies a transaction some time later.
    AppliedLate,
}
