use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use super::{Ramp, Tag, Target, TargetId, Verdict};
use crate::clock::Instant;
use crate::collections::{Map, Set};
use crate::fleet::{DataCentreId, Snapshot};
use crate::platform::{Instance, State};

/// Time in which a data centre that operators bring back gets all its slots.
const DATA_CENTRE_RAMP: Duration = Duration::from_secs(30);

/// Targets of one service.
///
/// ```
/// use coriandernotch::route::Targets;
///
/// assert_eq!(Targets::new(8).free(Default::default(), &[]), 0);
/// ```
#[derive(Debug)]
pub struct Targets {
    slots: u32,
    arena: SlotMap<TargetId, Target>,
    by_name: Map<Arc<str>, TargetId>,
    /// Data centres that were out in the last snapshot.
    out: Set<DataCentreId>,
    /// State of the xorshift generator for the choice of two.
    random: u64,
}

impl Targets {
    /// Makes an empty set whose targets run `slots` calls each.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            arena: SlotMap::with_key(),
            by_name: Map::default(),
            out: Set::default(),
            random: 0x9e37_79b9_7f4a_7c15,
        }
    }

    /// Sets the number of calls that one target runs at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Takes over the platform's list: adds, updates and drops targets.
    ///
    /// A target that said itself that it leaves stays so, because the list lags. A target that is
    /// missing from `listed` is kept without new work while it still runs calls, and gets work
    /// again when it comes back, for example after its drain was taken back.
    pub fn sync(&mut self, listed: &[&Instance], snapshot: &Snapshot, now: Instant) {
        let names: Set<&str> = listed.iter().map(|i| &*i.name).collect();
        for target in self.arena.values_mut() {
            target.assigned = names.contains(&*target.name);
        }
        for instance in listed {
            self.update(instance, snapshot);
        }
        self.arena
            .retain(|_, t| t.running > 0 || names.contains(&*t.name));
        let arena = &self.arena;
        self.by_name.retain(|_, id| arena.contains_key(*id));
        self.apply(snapshot, now);
    }

    /// Takes over a new snapshot: a data centre that returns starts with few slots.
    pub fn apply(&mut self, snapshot: &Snapshot, now: Instant) {
        let seen: Set<DataCentreId> = self.arena.values().filter_map(|t| t.data_centre).collect();
        for id in seen {
            if !snapshot.is_in(id) {
                self.out.insert(id);
            } else if self.out.remove(&id) {
                let ramp = Ramp::new(now, DATA_CENTRE_RAMP);
                self.arena
                    .values_mut()
                    .filter(|t| t.data_centre == Some(id))
                    .for_each(|t| t.ramp = Some(ramp));
            }
        }
    }

    fn update(&mut self, instance: &Instance, snapshot: &Snapshot) {
        let data_centre = snapshot.data_centre_id(&instance.data_centre);
        if let Some(target) = self
            .by_name
            .get(&instance.name)
            .and_then(|id| self.arena.get_mut(*id))
        {
            // A different address means that the platform replaced the instance under its name.
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
            tag: Tag::of(&instance.name),
            address: instance.address,
            data_centre,
            state: instance.state,
            assigned: true,
            running: 0,
            reported: 0,
            health: super::Health::default(),
            ramp: None,
        });
        self.by_name.insert(instance.name.clone(), id);
    }

    /// Chooses a target with a free slot: the data centre `near` first, then the less loaded of
    /// two. Targets in `except` were tried before. Counts the call as running on it.
    ///
    /// Only data centres that are in in all `enforced` snapshots are used.
    pub fn choose(
        &mut self,
        now: Instant,
        near: Option<DataCentreId>,
        enforced: &[Arc<Snapshot>],
        except: &[TargetId],
    ) -> Option<TargetId> {
        let usable = |t: &Target| t.has_slot(self.slots, now) && is_in(t, enforced);
        let (mut close, mut far) = (Pair::default(), Pair::default());
        let mut random = self.random;
        for (id, target) in &self.arena {
            if !usable(target) || except.contains(&id) {
                continue;
            }
            let pair = if target.data_centre == near {
                &mut close
            } else {
                &mut far
            };
            pair.offer(id, next_random(&mut random));
        }
        self.random = random;
        let pair = if close.count > 0 { close } else { far };
        let id = self.less_loaded(pair, now)?;
        self.arena[id].running += 1;
        Some(id)
    }

    fn less_loaded(&self, pair: Pair, now: Instant) -> Option<TargetId> {
        let load = |id: TargetId| self.arena[id].load(self.slots, now);
        match pair.ids {
            [Some(a), Some(b)] if load(b) < load(a) => Some(b),
            [a, _] => a,
        }
    }

    /// Returns the target, unless it was dropped.
    pub fn get(&self, id: TargetId) -> Option<&Target> {
        self.arena.get(id)
    }

    /// Lists all targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetId, &Target)> {
        self.arena.iter()
    }

    /// Returns whether work may still start on the target, checked immediately before sending.
    pub fn may_start(&self, id: TargetId, enforced: &[Arc<Snapshot>]) -> bool {
        self.arena
            .get(id)
            .is_some_and(|t| t.is_open() && is_in(t, enforced))
    }

    /// Ends a call that [`Targets::choose`] counted, and ejects the target when its health says
    /// so. Returns the ejection time.
    pub fn finish(&mut self, id: TargetId, verdict: Verdict, now: Instant) -> Option<Duration> {
        let target = self.arena.get_mut(id)?;
        target.running = target.running.saturating_sub(1);
        self.judge(id, verdict, now)
    }

    /// Takes account of a verdict while the call goes on. Returns the ejection time.
    pub fn judge(&mut self, id: TargetId, verdict: Verdict, now: Instant) -> Option<Duration> {
        let pool_rate = self.rate_without(id);
        let room = self.may_eject_more(now);
        let target = self.arena.get_mut(id)?;
        if verdict == Verdict::Leaving {
            target.state = State::Leaving;
        }
        target.health.record(verdict);
        // A target that cannot be reached is ejected in any case: trying it gains nothing.
        let eject = target.health.is_suspect(pool_rate) && (room || target.health.is_unreachable());
        (eject && !target.health.is_ejected(now)).then(|| target.health.eject(now))
    }

    /// Sets the calls that peers report per target; others have none.
    pub fn report(&mut self, reported: &Map<Tag, u32>) {
        for target in self.arena.values_mut() {
            target.reported = reported.get(&target.tag).copied().unwrap_or(0);
        }
    }

    /// Returns the free slots over all usable targets.
    pub fn free(&self, now: Instant, enforced: &[Arc<Snapshot>]) -> u32 {
        self.arena
            .values()
            .filter(|t| t.has_slot(self.slots, now) && is_in(t, enforced))
            .map(|t| t.usable(self.slots, now) - t.running - t.reported)
            .sum()
    }

    /// Returns the usable slots of targets that take work at `now`, busy or not.
    pub fn capacity(&self, now: Instant, enforced: &[Arc<Snapshot>]) -> u32 {
        self.arena
            .values()
            .filter(|t| t.is_open() && !t.health.is_ejected(now) && is_in(t, enforced))
            .map(|t| t.usable(self.slots, now))
            .sum()
    }

    fn rate_without(&self, id: TargetId) -> f32 {
        let (sum, count) = self
            .arena
            .iter()
            .filter(|(other, _)| *other != id)
            .fold((0.0, 0u32), |(sum, n), (_, t)| {
                (sum + t.health.rate(), n + 1)
            });
        if count == 0 { 0.0 } else { sum / count as f32 }
    }

    /// At most half of a pool is ejected for its failure rate, so that the rest is not flooded.
    fn may_eject_more(&self, now: Instant) -> bool {
        let ejected = self
            .arena
            .values()
            .filter(|t| t.health.is_ejected(now))
            .count();
        (ejected + 1) * 2 <= self.arena.len()
    }
}

/// Two targets drawn at random from a stream of unknown length.
#[derive(Clone, Copy, Default)]
struct Pair {
    ids: [Option<TargetId>; 2],
    count: u64,
}

impl Pair {
    fn offer(&mut self, id: TargetId, random: u64) {
        self.count += 1;
        match self.count {
            1 => self.ids[0] = Some(id),
            2 => self.ids[1] = Some(id),
            n => {
                let place = random % n;
                if place < 2 {
                    self.ids[place as usize] = Some(id);
                }
            }
        }
    }
}

fn is_in(target: &Target, enforced: &[Arc<Snapshot>]) -> bool {
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
