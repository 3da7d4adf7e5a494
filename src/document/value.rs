use super::member::Member;
use super::node_id::NodeId;

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
