use std::sync::Arc;

use super::{InstanceId, Shortfall};
use crate::fleet::{Budget, PoolId};

/// A pool as a manager knows it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Unique name.
    pub name: Arc<str>,
    /// Intended number of instances.
    pub size: u32,
    /// Whether the pool lends instances to the other pools.
    pub spare: bool,
    /// Availability budget from the document.
    pub budget: Budget,
    /// Instances that belong to the pool.
    pub members: Vec<InstanceId>,
    /// Spare instances that each pool would need after the next failure; empty except in the spare
    /// pool.
    pub shortfalls: Vec<(PoolId, Shortfall)>,
    /// Newest fencing token that wrote the row.
    pub token: u64,
    /// Version of the row, 0 when there is none.
    pub version: u64,
}
