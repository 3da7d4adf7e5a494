use std::sync::Arc;

use super::node_id::NodeId;

/// A field of an object as written.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) name: Arc<str>,
    pub(super) start: usize,
    pub(super) value: NodeId,
}
