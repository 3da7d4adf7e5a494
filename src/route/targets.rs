use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use super::{NameHash, Ramp, Target, TargetId, Verdict};
use crate::clock::Instant;
use crate::collections::{Map, Set};
use crate::fleet::{DataCentreId, Snapshot};
use crate::platform::{Instance, State};

/// Time over which the targets of a data centre that is put back into service regain all their
/// slots.
const DATA_CENTRE_RAMP: Duration = Duration::from_secs(30);

/// The targets of one service, with their load and health.
///
/// ```
/// use coriandernotch::route::Targets;
///
/// assert_eq!(Targets::new(8).free_slots(Default::default(), &[]), 0);
/// ```
#[derive(Debug)]
pub struct Targets {
    slots: u32,
    arena: SlotMap<TargetId, Target>,
    by_name: Map<Arc<str>, TargetId>,
    /// Data centres that were out of service in the last snapshot.
    out_of_service: Set<DataCentreId>,
    /// State of the xorshift generator that samples two candidates for each choice.
    random_state: u64,
}

impl Targets {
    /// Creates an empty set whose targets run up to `slots` calls each.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            arena: SlotMap::with_key(),
            by_name: Map::default(),
            out_of_service: Set::default(),
            random_state: 0x9e37_79b9_7f4a_7c15,
        }
    }

    /// Sets the number of calls that each target can run at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Adds, updates and removes targets to match the listed instances of the service's pool.
    ///
    /// A target that announced itself that it is leaving stays leaving, because the platform's list
    /// lags behind. A target that is missing from `listed` stays without new calls until its
    /// running calls end, and gets calls again when it is listed again, for example after its drain
    /// was cancelled.
    pub fn set_instances(&mut self, listed: &[&Instance], snapshot: &Snapshot, now: Instant) {
        let names: Set<&str> = listed.iter().map(|i| &*i.name).collect();
        for target in self.arena.values_mut() {
            target.in_pool = names.contains(&*target.name);
        }
        for instance in listed {
            self.upsert(instance, snapshot);
        }
        self.arena
            .retain(|_, t| t.running > 0 || names.contains(&*t.name));
        let arena = &self.arena;
        self.by_name.retain(|_, id| arena.contains_key(*id));
        self.apply_snapshot(snapshot, now);
    }

    /// Applies a new snapshot: targets in a data centre that is back in service start with few
    /// slots.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot, now: Instant) {
        let data_centres: Set<DataCentreId> =
            self.arena.values().filter_map(|t| t.data_centre).collect();
        for id in data_centres {
            if !snapshot.is_in(id) {
                self.out_of_service.insert(id);
            } else if self.out_of_service.remove(&id) {
                let ramp = Ramp::new(now, DATA_CENTRE_RAMP);
                self.arena
                    .values_mut()
                    .filter(|t| t.data_centre == Some(id))
                    .for_each(|t| t.ramp = Some(ramp));
            }
        }
    }

    fn upsert(&mut self, instance: &Instance, snapshot: &Snapshot) {
        let data_centre = snapshot.data_centre_id(&instance.data_centre);
        if let Some(target) = self
            .by_name
            .get(&instance.name)
            .and_then(|id| self.arena.get_mut(*id))
        {
            // With a different address, it is a new instance that the platform started under the
            // same name.
            if target.address == instance.address {
                target.data_centre = data_centre;
                if instance.state == State::Leaving {
                    target.state = State::Leaving;
                }
                return;
            }
            target.state = State::Leaving;
        }
        let id = self.arena.insert(Target {
            name: instance.name.clone(),
            tag: NameHash::of(&instance.name),
            address: instance.address,
            data_centre,
            state: instance.state,
            in_pool: true,
            running: 0,
            reported: 0,
            health: super::Health::default(),
            ramp: None,
        });
        self.by_name.insert(instance.name.clone(), id);
    }

    /// Chooses a target with a free slot by the power of two choices, and counts the call as
    /// running on it: of two random candidates, the one with the lower load.
    ///
    /// Targets in `local_data_centre` are preferred over all others. Targets in `excluded` are
    /// skipped, because the call was already tried there. Only data centres that are in service in
    /// all `enforced` snapshots are used.
    pub fn choose(
        &mut self,
        now: Instant,
        local_data_centre: Option<DataCentreId>,
        enforced: &[Arc<Snapshot>],
        excluded: &[TargetId],
    ) -> Option<TargetId> {
        let has_slot = |t: &Target| t.has_slot(self.slots, now) && in_service(t, enforced);
        let (mut local, mut remote) = (Sample::default(), Sample::default());
        let mut random_state = self.random_state;
        for (id, target) in &self.arena {
            if !has_slot(target) || excluded.contains(&id) {
                continue;
            }
            let sample = if target.data_centre == local_data_centre {
                &mut local
            } else {
                &mut remote
            };
            sample.add(id, next_random(&mut random_state));
        }
        self.random_state = random_state;
        let sample = if local.count > 0 { local } else { remote };
        let id = self.less_loaded(sample, now)?;
        self.arena[id].running += 1;
        Some(id)
    }

    fn less_loaded(&self, sample: Sample, now: Instant) -> Option<TargetId> {
        let load = |id: TargetId| self.arena[id].load(self.slots, now);
        match sample.ids {
            [Some(a), Some(b)] if load(b) < load(a) => Some(b),
            [a, _] => a,
        }
    }

    /// Returns the target; `None` when it was removed.
    pub fn get(&self, id: TargetId) -> Option<&Target> {
        self.arena.get(id)
    }

    /// Iterates over all targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetId, &Target)> {
        self.arena.iter()
    }

    /// Returns whether a call may still be sent to the target; checked immediately before sending.
    pub fn may_start(&self, id: TargetId, enforced: &[Arc<Snapshot>]) -> bool {
        self.arena
            .get(id)
            .is_some_and(|t| t.accepts_calls() && in_service(t, enforced))
    }

    /// Ends a call that [`Targets::choose`] counted and records its verdict like
    /// [`Targets::record_verdict`].
    ///
    /// Returns the duration of the ejection when the target is ejected.
    pub fn finish(&mut self, id: TargetId, verdict: Verdict, now: Instant) -> Option<Duration> {
        let target = self.arena.get_mut(id)?;
        target.running = target.running.saturating_sub(1);
        self.record_verdict(id, verdict, now)
    }

    /// Records a verdict in the health of the target and ejects it when it has become an outlier.
    ///
    /// Returns the duration of the ejection when the target is ejected.
    pub fn record_verdict(
        &mut self,
        id: TargetId,
        verdict: Verdict,
        now: Instant,
    ) -> Option<Duration> {
        let pool_failure_rate = self.failure_rate_without(id);
        let below_limit = self.may_eject_more(now);
        let target = self.arena.get_mut(id)?;
        if verdict == Verdict::Leaving {
            target.state = State::Leaving;
        }
        target.health.record(verdict);
        // An unreachable target is ejected even beyond the limit: sending calls to it is useless.
        let eject = target.health.is_outlier(pool_failure_rate)
            && (below_limit || target.health.is_unreachable());
        (eject && !target.health.is_ejected(now)).then(|| target.health.eject(now))
    }

    /// Sets the running calls that peers reported per target, 0 for targets missing from the map.
    pub fn set_reported(&mut self, reported: &Map<NameHash, u32>) {
        for target in self.arena.values_mut() {
            target.reported = reported.get(&target.tag).copied().unwrap_or(0);
        }
    }

    /// Returns the number of free slots of all targets that may get calls.
    pub fn free_slots(&self, now: Instant, enforced: &[Arc<Snapshot>]) -> u32 {
        self.arena
            .values()
            .filter(|t| t.has_slot(self.slots, now) && in_service(t, enforced))
            .map(|t| t.usable_slots(self.slots, now) - t.running - t.reported)
            .sum()
    }

    /// Returns the number of usable slots, free or not, of all targets that may get calls at `now`.
    pub fn capacity(&self, now: Instant, enforced: &[Arc<Snapshot>]) -> u32 {
        self.arena
            .values()
            .filter(|t| t.accepts_calls() && !t.health.is_ejected(now) && in_service(t, enforced))
            .map(|t| t.usable_slots(self.slots, now))
            .sum()
    }

    /// Returns the mean failure rate of all targets except `id`.
    fn failure_rate_without(&self, id: TargetId) -> f32 {
        let (sum, count) = self
            .arena
            .iter()
            .filter(|(other, _)| *other != id)
            .fold((0.0, 0u32), |(sum, n), (_, t)| {
                (sum + t.health.rate(), n + 1)
            });
        if count == 0 { 0.0 } else { sum / count as f32 }
    }

    /// Returns whether one more target may be ejected for its failure rate. At most half of a pool
    /// may be, so that the other half is not overloaded.
    fn may_eject_more(&self, now: Instant) -> bool {
        let ejected = self
            .arena
            .values()
            .filter(|t| t.health.is_ejected(now))
            .count();
        (ejected + 1) * 2 <= self.arena.len()
    }
}

/// Reservoir sample of two targets from a sequence of unknown length.
#[derive(Clone, Copy, Default)]
struct Sample {
    ids: [Option<TargetId>; 2],
    count: u64,
}

impl Sample {
    fn add(&mut self, id: TargetId, random: u64) {
        self.count += 1;
        match self.count {
            1 => self.ids[0] = Some(id),
            2 => self.ids[1] = Some(id),
            n => {
                let index = random % n;
                if index < 2 {
                    self.ids[index as usize] = Some(id);
                }
            }
        }
    }
}

fn in_service(target: &Target, enforced: &[Arc<Snapshot>]) -> bool {
    target
        .data_centre
        .is_some_and(|id| enforced.iter().all(|s| s.is_in(id)))
}

fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}
