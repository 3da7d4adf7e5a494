use std::sync::Arc;

use super::{Instance, InstanceId, Operation, Shortfall};
use crate::fleet::PoolId;
use crate::platform::Write;

/// One transaction and its effect on the state.
#[derive(Clone, Debug)]
pub struct Change {
    /// Identifies the transaction in the rows that it writes.
    pub operation: Operation,
    /// Key of a row that stores the operation; it is read back after a lost reply.
    pub probe_key: Arc<str>,
    /// Writes, each conditional on the version that the decision was based on.
    pub writes: Vec<Write>,
    /// Changed instances as the transaction leaves them.
    pub(super) instances: Vec<(InstanceId, Instance)>,
    /// Pools whose rows the transaction writes.
    pub(super) pools: Vec<PoolId>,
    /// New shortfalls of all pools, when they change.
    pub(super) shortfalls: Option<Vec<(PoolId, Shortfall)>>,
}

impl Change {
    /// Adds a write to the transaction, for example of the plan that caused the change.
    ///
    /// The transaction then takes effect only if the condition of that write holds too.
    pub fn with(mut self, write: Write) -> Self {
        self.writes.push(write);
        self
    }
}
