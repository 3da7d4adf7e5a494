use super::{Acceptance, Batch, SubmissionKey};
use crate::clock::Instant;

/// What is to be done next for the submissions that wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a transaction.
    Send(Batch),
    /// Reply to a caller whose submission no longer waits.
    Reply(SubmissionKey, Acceptance),
    /// Wait until a time, or until something else has happened.
    Wait(Option<Instant>),
}
