use std::sync::Arc;
use std::time::Duration;

use super::budget::Budget;
use super::candidate::Candidate;
use super::need::Need;
use super::{Engine, Worker};
use crate::batch::WorkerKey;
use crate::clock::Instant;
use crate::collections::{Map, Set};

/// Time without need after which a pool gives up a lent machine.
const RELEASE_LENT_AFTER: Duration = Duration::from_millis(1_200);

/// Additional time before a machine of the spare pool is switched off, unless another pool needs
/// it.
const SWITCH_OFF_DELAY: Duration = Duration::from_millis(4_000);

/// Time before an expected burst at which the machines of a pool return. It covers a move, the
/// registration of the worker and the first poll.
const RETURN_LEAD_TIME: Duration = Duration::from_millis(3_500);

/// Shortest expected quiet period of a pool for which it lends machines.
pub(super) const MIN_QUIET_TO_LEND: Duration = Duration::from_millis(5_000);

/// Shortest expected quiet period of a pool for which machines are switched off. Two moves cost as
/// much as 2.3 s of a machine, and it is unavailable during both.
const MIN_QUIET_TO_SWITCH_OFF: Duration = Duration::from_millis(7_000);

/// Fraction of its machines that a pool keeps in a quiet period, since a single wide job may arrive
/// at any time.
pub(super) const KEPT_FRACTION: f64 = 0.5;

/// Number of machines that any service may borrow, even if it has fewer of its own.
pub(super) const MIN_BORROWABLE: usize = 8;

/// Preference for taking a machine for a service; the smallest is taken first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    /// It belongs to the service.
    Own,
    /// It is switched off and belongs to the spare pool.
    Spare,
    /// It is switched off and belongs to another service in a quiet period.
    Off,
    /// It is lent to a service that can do without it.
    Lent,
    /// It belongs to a service in a quiet period; holds the time since the end of its last burst.
    Quiet(Duration),
}

impl Engine {
    /// Returns the machines to move now, with their new pools. A machine that still has runs gets
    /// no new starts until it is empty, and is returned then.
    ///
    /// This handles queues that take turns with bursts of several times the size of their pool: the
    /// machines of the spare pool and of queues whose burst has just ended serve the next burst,
    /// and a queue in a quiet period switches machines off until shortly before its next burst.
    pub fn plan_moves(&mut self, now: Instant) -> Vec<(Arc<str>, Arc<str>)> {
        self.drop_finished_transfers(now);
        let needs = self.needs(now);
        let mut candidates = self.candidates(now);
        let mut budget = self.budget(&needs);
        let mut plan: Vec<(Candidate, Arc<str>)> = Vec::new();
        for need in needs.iter().filter(|need| need.shortage > 0) {
            self.cover_shortage(need, &mut candidates, &mut budget, &mut plan, now);
        }
        for candidate in candidates {
            if let Some(to) = self.destination(&candidate, &budget, now) {
                budget.take(&candidate);
                plan.push((candidate, to));
            }
        }
        let relocating = plan.iter().filter_map(|(candidate, _)| candidate.worker);
        let relocating: Set<WorkerKey> = relocating.collect();
        for (key, worker) in &mut self.workers {
            worker.relocating = relocating.contains(&key);
        }
        let ready = plan.into_iter().filter(|(candidate, _)| candidate.empty);
        ready
            .map(|(candidate, to)| (candidate.machine, to))
            .collect()
    }

    /// Cancels all planned moves, because orders about machines may not be given at present.
    pub fn cancel_moves(&mut self) {
        for worker in self.workers.values_mut() {
            worker.relocating = false;
        }
    }

    /// Plans moves to a service until its shortage is covered or no machine is left for it.
    fn cover_shortage(
        &self,
        need: &Need,
        candidates: &mut Vec<Candidate>,
        budget: &mut Budget,
        plan: &mut Vec<(Candidate, Arc<str>)>,
        now: Instant,
    ) {
        let planned = plan.iter().filter(|(_, to)| *to == need.service);
        let mut borrowed = self.borrowed_by(&need.service) + planned.count();
        let max_borrowed = self.own_machines(&need.service).max(MIN_BORROWABLE);
        let mut shortage = need.shortage;
        while shortage > 0 {
            let preferences = candidates.iter().enumerate();
            let preferences = preferences.filter_map(|(position, candidate)| {
                let preference = self.preference_for(candidate, &need.service, budget, now)?;
                let allowed = preference == Preference::Own || borrowed < max_borrowed;
                allowed.then_some((preference, !candidate.empty, position))
            });
            let Some((preference, _, position)) = preferences.min() else {
                return;
            };
            let candidate = candidates.remove(position);
            budget.take(&candidate);
            shortage = shortage.saturating_sub(candidate.processors.max(1));
            borrowed += usize::from(preference != Preference::Own);
            plan.push((candidate, need.service.clone()));
        }
    }

    fn preference_for(
        &self,
        candidate: &Candidate,
        service: &Arc<str>,
        budget: &Budget,
        now: Instant,
    ) -> Option<Preference> {
        if candidate.pool == *service || candidate.data_centre_out {
            return None;
        }
        if candidate.home == *service {
            return Some(Preference::Own);
        }
        let (pool, home) = (&candidate.pool, &candidate.home);
        let is_quiet = self.quiet_time_of(home, now) >= MIN_QUIET_TO_LEND;
        if self.config.spare_services.contains(pool) {
            return match pool == home {
                true => Some(Preference::Spare),
                false => is_quiet.then_some(Preference::Off),
            };
        }
        if !Budget::left(&budget.releasable, pool) {
            return None;
        }
        if pool != home {
            let available = is_quiet || self.config.spare_services.contains(home);
            return available.then_some(Preference::Lent);
        }
        let ended = self.demand.get(home)?.bursts.last_burst_end(now)?;
        let surplus = Budget::left(&budget.surplus, home);
        (is_quiet && surplus).then(|| Preference::Quiet(now.since(ended)))
    }

    /// Returns the new pool of a machine that no service is short of, or `None` if it stays.
    fn destination(
        &self,
        candidate: &Candidate,
        budget: &Budget,
        now: Instant,
    ) -> Option<Arc<str>> {
        let (pool, home) = (&candidate.pool, &candidate.home);
        let spares = &self.config.spare_services;
        let idle_time = self
            .demand
            .get(pool)
            .map_or(Duration::MAX, |d| now.since(d.last_needed));
        if spares.contains(home) {
            let unneeded = pool != home && idle_time > RELEASE_LENT_AFTER + SWITCH_OFF_DELAY;
            return unneeded.then(|| home.clone());
        }
        let quiet_time = self.quiet_time_of(home, now);
        if pool != home && quiet_time < RETURN_LEAD_TIME {
            let free = spares.contains(pool) || idle_time > RELEASE_LENT_AFTER;
            return (free && !candidate.data_centre_out).then(|| home.clone());
        }
        if spares.contains(pool)
            || idle_time <= RELEASE_LENT_AFTER
            || quiet_time < MIN_QUIET_TO_SWITCH_OFF
        {
            return None;
        }
        let free = pool != home || Budget::left(&budget.surplus, home);
        let released = Budget::left(&budget.releasable, pool);
        // Takes the first by name, so that every pass makes the same choice.
        (free && released).then(|| spares.iter().min().cloned())?
    }

    /// Returns the remaining time in which no burst of a service is expected.
    pub(super) fn quiet_time_of(&self, service: &Arc<str>, now: Instant) -> Duration {
        let demand = self.demand.get(service);
        demand.map_or(Duration::ZERO, |demand| demand.bursts.quiet_time(now))
    }

    fn budget(&self, needs: &[Need]) -> Budget {
        let releasable = needs
            .iter()
            .map(|need| (need.service.clone(), need.releasable));
        let surplus = needs.iter().map(|need| {
            let machines = self.pools.machines.values();
            let not_lent =
                machines.filter(|m| m.pool == need.service && !self.pools.is_lent(&m.name));
            let kept = self.own_machines(&need.service) as f64 * KEPT_FRACTION;
            (
                need.service.clone(),
                not_lent.count().saturating_sub(kept.ceil() as usize),
            )
        });
        Budget {
            releasable: releasable.collect(),
            surplus: surplus.collect(),
        }
    }

    pub(super) fn own_machines(&self, service: &Arc<str>) -> usize {
        let machines = self.pools.machines.values();
        machines.filter(|m| self.pools.home(m) == service).count()
    }

    pub(super) fn borrowed_by(&self, service: &Arc<str>) -> usize {
        let machines = self.pools.machines.values();
        // A machine in transit is already listed in its new pool.
        let lent = machines.filter(|m| m.pool == *service && self.pools.home(m) != service);
        lent.count()
    }

    /// Lists the machines that can be moved: those that are switched off, and those whose worker
    /// certainly has no lasting task.
    fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let mut workers: Map<&Arc<str>, (WorkerKey, &Worker)> = Map::default();
        for (key, worker) in &self.workers {
            let machine = &worker.profile.machine;
            let is_newer = |(_, known): &(WorkerKey, &Worker)| worker.recency() > known.recency();
            if workers.get(machine).is_none_or(is_newer) {
                workers.insert(machine, (key, worker));
            }
        }
        let movable = self.pools.machines.values().filter(|m| {
            let blocked = self.pools.is_blocked(&m.name, now);
            let maintained = self.waves.iter().any(|wave| wave.is_in_progress(&m.name));
            m.up && !blocked && !maintained && !self.must_stay_for_maintenance(&m.name, now)
        });
        let mut candidates: Vec<Candidate> = movable
            .filter_map(|m| {
                let is_off = self.config.spare_services.contains(&m.pool);
                let (worker, empty) = match workers.get(&m.name) {
                    _ if is_off => (None, true),
                    Some((key, worker)) => (Some(*key), self.is_empty(worker)?),
                    None => return None,
                };
                Some(Candidate {
                    machine: m.name.clone(),
                    pool: m.pool.clone(),
                    home: self.pools.home(m).clone(),
                    processors: m.processors,
                    data_centre_out: self.excluded_data_centres.contains(&m.data_centre),
                    worker,
                    empty,
                })
            })
            .collect();
        candidates.sort_by(|a, b| a.machine.cmp(&b.machine));
        candidates
    }

    /// Returns whether a worker has neither runs nor unstored ends that a move would lose; `None`
    /// if it has a lasting task, or may have one of the previous leader.
    fn is_empty(&self, worker: &Worker) -> Option<bool> {
        let mut runs = worker.runs.iter().map(|run| &self.runs[*run]);
        let has_lasting_task = runs.any(|run| run.lasting);
        if has_lasting_task || self.may_have_inherited_runs(&worker.profile.machine) {
            return None;
        }
        Some(worker.runs.is_empty() && self.has_stored_ends(worker))
    }
}
