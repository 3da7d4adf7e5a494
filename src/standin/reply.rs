use bytes::Bytes;

use crate::platform::{Instance, Row};

/// Regular answer of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A row, if it exists.
    Row(Option<Row>),
    /// Rows in key order.
    Rows(Vec<Row>),
    /// New versions, in the order of the writes.
    Versions(Vec<u64>),
    /// An object was stored or an order accepted.
    Stored,
    /// An object, if it exists.
    Object(Option<Bytes>),
    /// The instance list.
    Instances(Vec<Instance>),
}
