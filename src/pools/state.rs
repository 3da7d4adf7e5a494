use std::sync::Arc;

use super::{
    Assignment, Budget, Instance, InstanceId, Operation, Phase, Pool, Purpose, RackId, Request,
    StoredPurpose, Summary, Tally, Tenure,
};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::{self, DataCentreId, Document, PoolId, Registry};
use crate::platform;

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
    /// Builds the state that the document and the platform's list describe, without any row.
    ///
    /// Instances that are not in the list are left out, since their rack and data centre are
    /// unknown. `registry` assigns the ids of the pools; each manager has its own.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::{self, Registry};
    /// use coriandernotch::pools::{State, Tenure};
    ///
    /// let document = fleet::parse("f", include_str!("../../examples/rennes.jsonc")).unwrap();
    /// let (now, tenure) = (Instant::default(), Tenure::new(1));
    /// let state = State::build(now, &tenure, &document, &mut Registry::default(), &[]);
    /// assert_eq!((state.pools().count(), state.instances().count()), (7, 0));
    /// ```
    pub fn build(
        now: Instant,
        tenure: &Tenure,
        document: &Document,
        registry: &mut Registry,
        listing: &[platform::Instance],
    ) -> Self {
        let mut state = Self {
            tenure: tenure.clone(),
            ..Self::default()
        };
        state.update_pools(document, registry);
        let initial_pools = |pool: &fleet::Pool| {
            let name = pool.name.clone();
            let instances = pool.instances.clone();
            instances.into_iter().map(move |i| (i, name.clone()))
        };
        let pools: Map<Arc<str>, Arc<str>> =
            document.pools.iter().flat_map(initial_pools).collect();
        for listed in listing {
            let Some(pool) = pools.get(&listed.name) else {
                continue;
            };
            let assignment = Assignment {
                pool: pool.clone(),
                token: tenure.token(),
                operation: Operation::default(),
                phase: Phase::Serving,
                errand: None,
                data_centre: listed.data_centre.clone(),
                rack: listed.rack.clone(),
                incarnation: 0,
                maintained: 0,
            };
            state.put_instance(now, &listed.name, &assignment, 0, registry);
        }
        state
    }

    /// Updates sizes and budgets from another version of the document.
    ///
    /// Instances stay in their pools. See [`State::build`] for an example of the arguments.
    pub fn update_pools(&mut self, document: &Document, registry: &mut Registry) {
        for pool in &document.pools {
            let id = registry.pool(&pool.name);
            self.spare = if pool.spare { Some(id) } else { self.spare };
            match self.pools.get_mut(id.index()) {
                Some(Some(known)) => {
                    (known.size, known.spare, known.budget) = (pool.size, pool.spare, pool.budget);
                }
                _ => self.put_pool(id, pool),
            }
        }
    }

    fn put_pool(&mut self, id: PoolId, pool: &fleet::Pool) {
        if self.pools.len() <= id.index() {
            self.pools.resize_with(id.index() + 1, || None);
        }
        self.pools[id.index()] = Some(Pool {
            name: pool.name.clone(),
            size: pool.size,
            spare: pool.spare,
            budget: pool.budget,
            members: Vec::new(),
            shortfalls: Vec::new(),
            token: 0,
            version: 0,
        });
    }

    /// Returns the id of a pool, adding the pool if the document no longer has it.
    ///
    /// Such a pool has an intended size of 0 and an unlimited budget, so that it can be emptied.
    pub(super) fn intern_pool(&mut self, name: &Arc<str>, registry: &mut Registry) -> PoolId {
        let id = registry.pool(name);
        if self.pool(id).is_none() {
            let budget = fleet::Budget {
                unavailable: u32::MAX,
                rack: 0,
            };
            self.put_pool(
                id,
                &fleet::Pool {
                    name: name.clone(),
                    size: 0,
                    spare: false,
                    budget,
                    instances: Vec::new(),
                },
            );
        }
        id
    }

    /// Adds or replaces an instance.
    pub(super) fn put_instance(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        row: &Assignment,
        version: u64,
        registry: &mut Registry,
    ) {
        let pool = self.intern_pool(&row.pool, registry);
        let purpose = row.errand.as_ref().map(|errand| match errand {
            StoredPurpose::Move(to) => Purpose::Move(self.intern_pool(to, registry)),
            StoredPurpose::Reboot => Purpose::Reboot,
        });
        let next_rack =
            RackId(u32::try_from(self.rack_names.len()).expect("fewer than 2^32 racks"));
        let rack = *self.rack_ids.entry(row.rack.clone()).or_insert(next_rack);
        if rack == next_rack {
            self.rack_names.push(row.rack.clone());
        }
        let data_centre = registry.data_centre(&row.data_centre);
        self.data_centre_names
            .insert(data_centre, row.data_centre.clone());
        let instance = Instance {
            name: name.clone(),
            data_centre,
            rack,
            pool,
            phase: row.phase,
            purpose,
            incarnation: row.incarnation,
            maintained: row.maintained,
            since: now,
            version,
        };
        let next_id =
            InstanceId(u32::try_from(self.instances.len()).expect("fewer than 2^32 instances"));
        let id = *self.instance_ids.entry(name.clone()).or_insert(next_id);
        if id == next_id {
            self.instances.push(instance);
        } else {
            let previous = std::mem::replace(&mut self.instances[id.index()], instance);
            self.pool_mut(previous.pool).members.retain(|m| *m != id);
        }
        self.pool_mut(pool).members.push(id);
    }

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

    /// Returns the row of an instance.
    pub(super) fn assignment(&self, instance: &Instance, operation: Operation) -> Assignment {
        Assignment {
            pool: self.pool_name(instance.pool),
            token: self.token(),
            operation,
            phase: instance.phase,
            errand: instance.purpose.map(|purpose| match purpose {
                Purpose::Move(to) => StoredPurpose::Move(self.pool_name(to)),
                Purpose::Reboot => StoredPurpose::Reboot,
            }),
            data_centre: self.data_centre_names[&instance.data_centre].clone(),
            rack: self.rack_names[instance.rack.index()].clone(),
            incarnation: instance.incarnation,
            maintained: instance.maintained,
        }
    }

    /// Returns the row of a pool with the counts of `tally`.
    pub(super) fn ledger(&self, pool: &Pool, tally: &Tally, operation: Operation) -> Summary {
        let shortfalls = pool.shortfalls.iter();
        Summary {
            token: self.token(),
            operation,
            members: tally.members,
            out: tally.not_serving,
            cover: shortfalls
                .map(|(id, shortfall)| (self.pool_name(*id), *shortfall))
                .collect(),
        }
    }
}
