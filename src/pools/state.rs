mod build;
mod rows;

use std::sync::Arc;

use super::{Budget, Instance, InstanceId, Phase, Pool, RackId, Request, Tally, Tenure};
use crate::collections::Map;
use crate::fleet::{DataCentreId, PoolId};

/// Instances and pools as one manager knows them, with the versions of their rows.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub(super) tenure: Tenure,
    pub(super) instances: Vec<Instance>,
    pub(super) pools: Vec<Option<Pool>>,
    pub(super) spare: Option<PoolId>,
    pub(super) instance_ids: Map<Arc<str>, InstanceId>,
    pub(super) rack_names: Vec<Arc<str>>,
    pub(super) rack_ids: Map<Arc<str>, RackId>,
    data_centre_names: Map<DataCentreId, Arc<str>>,
}

impl State {
    /// Returns the fencing token with which changes are written.
    pub fn token(&self) -> u64 {
        self.tenure.token()
    }

    /// Lists the instances.
    pub fn instances(&self) -> impl Iterator<Item = (InstanceId, &Instance)> {
        (0..).map(InstanceId).zip(&self.instances)
    }

    /// Returns an instance of this state.
    pub fn instance(&self, id: InstanceId) -> &Instance {
        &self.instances[id.index()]
    }

    /// Returns the id of the instance with this name.
    pub fn instance_id(&self, name: &str) -> Option<InstanceId> {
        self.instance_ids.get(name).copied()
    }

    /// Lists the pools.
    pub fn pools(&self) -> impl Iterator<Item = (PoolId, &Pool)> {
        (0..)
            .map(PoolId)
            .zip(&self.pools)
            .filter_map(|(id, pool)| Some((id, pool.as_ref()?)))
    }

    /// Returns a pool.
    pub fn pool(&self, id: PoolId) -> Option<&Pool> {
        self.pools.get(id.index())?.as_ref()
    }

    /// Returns the pool that lends instances to the others.
    pub fn spare(&self) -> Option<PoolId> {
        self.spare
    }

    /// Returns the number of racks.
    pub fn rack_count(&self) -> usize {
        self.rack_names.len()
    }

    pub(super) fn pool_mut(&mut self, id: PoolId) -> &mut Pool {
        self.pools[id.index()].as_mut().expect("pool of the state")
    }

    pub(super) fn pool_name(&self, id: PoolId) -> Arc<str> {
        self.pool(id).expect("pool of the state").name.clone()
    }

    /// Counts the instances of a pool.
    pub fn tally(&self, pool: &Pool) -> Tally {
        Tally::of(pool.members.iter().map(|id| self.instance(*id)))
    }

    /// Returns how many instances of a pool are unavailable, and how many its budget allows.
    ///
    /// ```
    /// let state = coriandernotch::pools::State::example(1, 2);
    /// let (pool, _) = state.pools().next().unwrap();
    /// assert_eq!(state.unavailable(pool), (0, 1));
    /// ```
    pub fn unavailable(&self, pool: PoolId) -> (u32, u32) {
        self.pool(pool).map_or((0, 0), |pool| {
            let budget = Budget::of(pool);
            (budget.count_unavailable(&self.tally(pool)), budget.limit())
        })
    }

    /// Lists the requests to the platform that the phases of the instances require.
    ///
    /// ```
    /// let state = coriandernotch::pools::State::example(1, 2);
    /// assert_eq!(state.requests().count(), 0);
    /// ```
    pub fn requests(&self) -> impl Iterator<Item = Request> {
        let token = self.token();
        self.instances().filter_map(move |(id, instance)| {
            let (instance, incarnation) = (id, instance.incarnation);
            match self.instance(id).phase {
                Phase::Draining => Some(Request::Drain { instance, token }),
                Phase::Moving => Some(Request::Admit { instance, token }),
                Phase::Rebooting => Some(Request::Reboot {
                    instance,
                    incarnation,
                    token,
                }),
                Phase::Serving | Phase::Down => None,
            }
        })
    }
}
