use std::sync::Arc;

use super::{Cover, Instance, InstanceId, Operation};
use crate::fleet::PoolId;
use crate::platform::Write;

/// One transaction and what it makes of the state.
#[derive(Clone, Debug)]
pub struct Change {
    /// Identifies the transaction in the rows that it writes.
    pub operation: Operation,
    /// Row that carries the operation, read back after a lost answer.
    pub probe: Arc<str>,
    /// Writes, each conditional on the version that the decision was based on.
    pub writes: Vec<Write>,
    pub(super) instances: Vec<(InstanceId, Instance)>,
    pub(super) pools: Vec<PoolId>,
    pub(super) cover: Option<Vec<(PoolId, Cover)>>,
}

impl Change {
    /// Adds a write, for example of the plan that caused the change.
    ///
    /// The transaction then takes effect only if the condition of that write holds too.
    pub fn with(mut self, write: Write) -> Self {
        self.writes.push(write);
        self
    }
}
