use serde::{Deserialize, Serialize};

use super::Reply;

/// How far the request of a claim has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It may run or may have run.
    Started,
    /// It ran and this is the answer.
    Done(Reply),
    /// It ran; the answer with this status was too large to be stored.
    Unkept(u16),
    /// It did not run and never will under this claim.
    Released,
}
