use super::{Operation, Position};
use crate::fleet::Digest;

/// What an instance lacks, to be fetched from peers or the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Want {
    /// The head at a position.
    Head(Position),
    /// The document with a digest.
    Content(Digest),
    /// A prepared version that a peer has acknowledged.
    Pending(Operation),
}
