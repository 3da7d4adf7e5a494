use serde::{Deserialize, Serialize};

use super::Reply;

/// Progress of the request of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The request may be running or may have run.
    Started,
    /// The request ran, with this answer.
    Done(Reply),
    /// The request ran; its answer, with this status code, was too large to be stored.
    Unkept(u16),
    /// The request did not run and will not run under this claim.
    Released,
}
