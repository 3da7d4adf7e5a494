use coriandernotch::clock::Instant;
use coriandernotch::config::*;

/// A delayed reply: receiving node, time of the request and content.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Delayed {
    Read(usize, Instant, Revision),
    Pull(usize, Instant, Affirmation),
}
