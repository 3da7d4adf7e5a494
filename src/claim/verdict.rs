use super::{Reply, Ticket};

/// What happens to a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the first; it may run under this ticket.
    First(Ticket),
    /// It ran before; the caller gets this answer.
    Replay(Reply),
    /// It ran before with this status; the answer was too large to be stored.
    Unkept(u16),
    /// It was taken before and has no answer yet; it may be running or lost at another instance.
    Running,
    /// It was taken by an earlier start of this instance; whether it ran is not known.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The store could not be asked; this request does not run.
    Unavailable(String),
}
