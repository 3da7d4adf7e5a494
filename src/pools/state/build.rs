use std::sync::Arc;

use super::State;
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::{self, Document, PoolId, Registry};
use crate::platform;
use crate::pools::{
    Assignment, Instance, InstanceId, Operation, Phase, Pool, Purpose, RackId, StoredPurpose,
    Tenure,
};

/// Pools and instances as documents, the platform's list and rows describe them.
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
    /// let document = fleet::parse("f", include_str!("../../../examples/rennes.jsonc")).unwrap();
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
    pub(in crate::pools) fn intern_pool(
        &mut self,
        name: &Arc<str>,
        registry: &mut Registry,
    ) -> PoolId {
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
    pub(in crate::pools) fn put_instance(
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
}
