use coriandernotch::clock::Instant;
use coriandernotch::limit::{Permit, Voter};

/// A unit with a permit. Once started, it runs until `end`, even if its instance restarts.
#[derive(Clone, Debug)]
pub(crate) struct Unit {
    pub(crate) holder: Voter,
    pub(crate) permit: Permit,
    pub(crate) end: Option<Instant>,
}
