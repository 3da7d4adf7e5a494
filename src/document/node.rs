use super::node_id::NodeId;
use super::step::Step;
use super::value::Value;

/// A value with its place in the text and in the tree.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) start: usize,
    pub(super) end: usize,
    pub(super) parent: Option<NodeId>,
    pub(super) step: Step,
    pub(super) value: Value,
}
