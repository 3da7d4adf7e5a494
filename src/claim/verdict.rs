use super::{Reply, Ticket};

/// Result of claiming a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This is the first request with the key; it may run under this ticket.
    First(Ticket),
    /// The request ran before; the caller gets this stored answer.
    Replay(Reply),
    /// The request ran before, with this status code; its answer was too large to be stored.
    Unkept(u16),
    /// The request was claimed before and has no stored answer yet; it may still be running, or its
    /// instance may have failed.
    Running,
    /// The request was claimed before this instance was restarted; whether it ran is unknown.
    Unknown,
    /// The key was used before for a different request.
    Mismatch,
    /// The claim could not be stored or checked, for the given reason; the request must not run.
    Unavailable(String),
}
