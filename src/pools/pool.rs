use std::sync::Arc;

use super::{Cover, InstanceId};
use crate::fleet::{Budget, PoolId};

/// A pool as a manager knows it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Unique name.
    pub name: Arc<str>,
    /// Intended number of instances.
    pub size: u32,
    /// Whether it lends instances to the others.
    pub spare: bool,
    /// Availability budget as operators state it.
    pub budget: Budget,
    /// Instances that belong to the pool.
    pub members: Vec<InstanceId>,
    /// What the other pools would need after the next failure; empty but for the spare pool.
    pub cover: Vec<(PoolId, Cover)>,
    /// Newest fencing token that wrote the row.
    pub token: u64,
    /// Version of the row, 0 when there is none.
    pub version: u64,
}
