use coriandernotch::clock::Instant;
use coriandernotch::limit::{Permit, Voter};

/// A unit with a permit; it runs from `start` until `end`, also when its instance has crashed.
#[derive(Clone, Debug)]
pub(crate) struct Unit {
    pub(crate) holder: Voter,
    pub(crate) permit: Permit,
    pub(crate) end: Option<Instant>,
}
