use std::sync::{Arc, MutexGuard};

use super::Shared;
use super::sightings::Sightings;
use crate::call::Load;
use crate::clock::Instant;
use crate::fleet::Snapshot;
use crate::peer::Member;
use crate::platform::{self, Instance};
use crate::pools::{self, Phase, Roster, Sight};

/// What this entry instance knows of the instances at one moment, for the manager.
pub(super) struct Observer<'a> {
    shared: &'a Shared,
    now: Instant,
    enforced: Arc<[Arc<Snapshot>]>,
    roster: Arc<Roster>,
    /// Members that may run calls, and the version of the roster that was in force here before
    /// their rows were read.
    members: Vec<Member>,
    members_at: u64,
    own: Load,
}

impl<'a> Observer<'a> {
    pub(super) fn new(shared: &'a Shared, now: Instant) -> Self {
        let dispatcher = shared.control.dispatcher();
        let (members, members_at) = shared.scanned_members();
        Self {
            shared,
            now,
            enforced: dispatcher.enforced(),
            roster: dispatcher.roster(),
            members,
            members_at,
            own: dispatcher.load(),
        }
    }

    /// Returns the platform's list.
    pub(super) fn listing(&self) -> Arc<[Instance]> {
        self.sightings().list()
    }

    /// Returns what is known of an instance.
    pub(super) fn sight(&self, instance: &pools::Instance) -> Option<Sight> {
        let sightings = self.sightings();
        let listed = match sightings.find(&instance.name, self.now)? {
            Ok(listed) => listed.clone(),
            Err(_) => {
                return Some(Sight {
                    live: false,
                    running: 1,
                    incarnation: instance.incarnation,
                });
            }
        };
        drop(sightings);
        // A platform that was asked to drain an instance may show it as leaving.
        let up = listed.state == platform::State::Live || instance.phase == Phase::Draining;
        let is_in = self.enforced.iter().all(|snapshot| {
            let id = snapshot.data_centre_id(&listed.data_centre);
            id.is_some_and(|id| snapshot.is_in(id))
        });
        Some(Sight {
            live: up && is_in,
            running: self.running(instance),
            incarnation: listed.incarnation,
        })
    }

    /// Counts the calls on an instance; 0 only if that is proven and no call can follow.
    ///
    /// The proof: every entry instance that may run calls has reported 0 calls on it together
    /// with a version of the roster that contains this drain, and
    ///
    /// 1. a report takes the version first and counts afterwards, and an instance publishes a
    ///    version after its targets are in step with it, so calls granted under an older version
    ///    are in the count and none is granted later;
    /// 2. the drain that was reported is the one in the manager's state, because the versions of
    ///    the row are equal; the step that follows is conditional on that version;
    /// 3. the members were read after this instance had the drain, and an entry instance writes
    ///    its member row before it reads any assignment, so one that is not among them starts
    ///    with a roster that contains the drain;
    /// 4. a member that is not connected proves nothing, until the platform's list has omitted
    ///    it for so long that it has ended.
    fn running(&self, instance: &pools::Instance) -> u32 {
        self.proven_running(instance).unwrap_or(1)
    }

    /// Returns whether tasks of jobs run on the pool of an instance. They are not in the reports,
    /// so nothing is proven about such an instance.
    fn runs_jobs(&self, pool: &str) -> bool {
        let documents = self.enforced.iter().filter_map(|s| s.document());
        documents
            .flat_map(|d| &d.queues)
            .any(|queue| *queue.pool == *pool)
    }

    fn proven_running(&self, instance: &pools::Instance) -> Option<u32> {
        let membership = self.roster.get(&instance.name)?;
        if self.runs_jobs(&membership.pool) {
            return None;
        }
        let known = membership.version == instance.version && !membership.takes_calls();
        if !known || self.members_at < membership.since || self.own.assigned < membership.since {
            return None;
        }
        let mut running = self.own.on_target(&instance.name);
        for member in &self.members {
            if member.name == self.shared.member.name {
                continue;
            }
            match self.shared.hub.load(&member.name) {
                Some(load) if load.assigned >= membership.since => {
                    running += load.on_target(&instance.name);
                }
                _ if self.sightings().has_ended(&member.name, self.now) => {}
                _ => return None,
            }
        }
        Some(running)
    }

    fn sightings(&self) -> MutexGuard<'_, Sightings> {
        self.shared.sightings.lock().expect("sightings lock")
    }
}
