use std::sync::Arc;

use crate::clock::Instant;
use crate::config::{Head, Position};

/// Head that is newer than the one in force and whose document has not been fetched yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Successor {
    pub(super) position: Position,
    /// The head itself, or `None` if only its position is known.
    pub(super) head: Option<Arc<Head>>,
    /// Start of the newest head read that showed this head.
    pub(super) head_read: Option<Instant>,
}
