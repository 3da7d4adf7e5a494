use std::sync::Arc;

/// Key of a value in the arena of a [`Tree`](super::Tree).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub(super) u32);

/// A value with its place in the text and in the tree.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) start: usize,
    pub(super) end: usize,
    pub(super) parent: Option<NodeId>,
    pub(super) step: Step,
    pub(super) value: Value,
}

/// How a parent reaches a value.
#[derive(Clone, Debug)]
pub(super) enum Step {
    Root,
    Field(Arc<str>),
    Index(usize),
}

/// A value as written.
#[derive(Clone, Debug)]
pub(super) enum Value {
    /// Already reported; later checks pass over it.
    Invalid,
    Null,
    Boolean(bool),
    Number(Box<str>),
    Text(Box<str>),
    List(Vec<NodeId>),
    Object(Vec<Member>),
}

/// A field of an object as written.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) name: Arc<str>,
    pub(super) start: usize,
    pub(super) value: NodeId,
}
