use std::sync::{Arc, MutexGuard};

use super::Shared;
use super::inventory::Inventory;
use crate::call::Load;
use crate::clock::Instant;
use crate::fleet::Snapshot;
use crate::peer::Member;
use crate::platform::{self, Instance};
use crate::pools::{self, Observation, Phase, Roster};

/// Observations of the instances that this entry instance makes at one moment for the manager.
pub(super) struct Observer<'a> {
    shared: &'a Shared,
    now: Instant,
    enforced: Arc<[Arc<Snapshot>]>,
    roster: Arc<Roster>,
    /// Members, which may all run calls.
    members: Vec<Member>,
    /// Version of the roster in force here before the rows of `members` were read.
    members_roster_version: u64,
    own_load: Load,
}

impl<'a> Observer<'a> {
    pub(super) fn new(shared: &'a Shared, now: Instant) -> Self {
        let dispatcher = shared.control.dispatcher();
        let (members, members_roster_version) = shared.scanned_members();
        Self {
            shared,
            now,
            enforced: dispatcher.enforced(),
            roster: dispatcher.roster(),
            members,
            members_roster_version,
            own_load: dispatcher.running_load(),
        }
    }

    /// Returns the platform's list.
    pub(super) fn listing(&self) -> Arc<[Instance]> {
        self.inventory().list()
    }

    /// Returns the state of an instance, or `None` while it is unknown.
    pub(super) fn observe(&self, instance: &pools::Instance) -> Option<Observation> {
        let inventory = self.inventory();
        let listed = match inventory.find(&instance.name, self.now)? {
            Ok(listed) => listed.clone(),
            Err(_) => {
                return Some(Observation {
                    live: false,
                    running: 1,
                    incarnation: instance.incarnation,
                });
            }
        };
        drop(inventory);
        // The platform may list an instance as leaving because the manager ordered its drain.
        let available = listed.state == platform::State::Live || instance.phase == Phase::Draining;
        let in_service = self.enforced.iter().all(|snapshot| {
            let id = snapshot.data_centre_id(&listed.data_centre);
            id.is_some_and(|id| snapshot.is_in(id))
        });
        Some(Observation {
            live: available && in_service,
            running: self.running_calls(instance),
            incarnation: listed.incarnation,
        })
    }

    /// Returns the number of calls on an instance: 0 only with a proof that none runs and that none
    /// can start, and 1 if nothing can be proven.
    ///
    /// The proof: every entry instance that may run calls has reported 0 calls on the instance
    /// together with a version of the roster that contains this drain, and
    ///
    /// 1. a report reads the version before it counts the calls, and an entry instance publishes a
    ///    version after it has updated its targets, so calls admitted under an older version are
    ///    in the count and no call is admitted later;
    /// 2. the reported drain is the one in the manager's state, because the versions of the
    ///    assignment row are equal; the next step is conditional on that version;
    /// 3. the members were read after this entry instance had read the drain, and an entry instance
    ///    writes its member row before it reads any assignment, so one that is not among the
    ///    members starts with a roster that contains the drain;
    /// 4. a member that is not connected prevents the proof until the platform's list has omitted
    ///    it for so long that it must have ended.
    fn running_calls(&self, instance: &pools::Instance) -> u32 {
        self.proven_running_calls(instance).unwrap_or(1)
    }

    /// Returns whether a queue runs tasks of jobs in a pool. The reports do not count tasks, so no
    /// instance of such a pool can be proven idle.
    fn may_run_jobs(&self, pool: &str) -> bool {
        let documents = self.enforced.iter().filter_map(|s| s.document());
        documents
            .flat_map(|d| &d.queues)
            .any(|queue| *queue.pool == *pool)
    }

    fn proven_running_calls(&self, instance: &pools::Instance) -> Option<u32> {
        let membership = self.roster.get(&instance.name)?;
        if self.may_run_jobs(&membership.pool) {
            return None;
        }
        let current = membership.version == instance.version && !membership.takes_calls();
        if !current
            || self.members_roster_version < membership.since
            || self.own_load.roster_version < membership.since
        {
            return None;
        }
        let mut running_calls = self.own_load.on_target(&instance.name);
        for member in &self.members {
            if member.name == self.shared.member.name {
                continue;
            }
            match self.shared.hub.load(&member.name) {
                Some(load) if load.roster_version >= membership.since => {
                    running_calls += load.on_target(&instance.name);
                }
                _ if self.inventory().has_ended(&member.name, self.now) => {}
                _ => return None,
            }
        }
        Some(running_calls)
    }

    fn inventory(&self) -> MutexGuard<'_, Inventory> {
        self.shared.inventory.lock().expect("inventory lock")
    }
}
