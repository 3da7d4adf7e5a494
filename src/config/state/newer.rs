use std::sync::Arc;

use crate::clock::Instant;
use crate::config::{Head, Position};

/// A newer head than the one in force, whose document is not here yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Newer {
    pub(super) position: Position,
    pub(super) head: Option<Arc<Head>>,
    pub(super) head_read: Option<Instant>,
}
