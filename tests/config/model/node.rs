use coriandernotch::clock::Instant;
use coriandernotch::config::*;

/// An entry instance and its process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Node {
    pub(crate) state: State,
    pub(crate) running: bool,
    /// Time at which the process was paused, if it is.
    pub(crate) paused: Option<Instant>,
    pub(crate) store_reachable: bool,
    pub(super) voter: Voter,
}
