use std::time::Duration;

use super::Scheduler;
use crate::clock::Instant;
use crate::fleet::TeamId;
use crate::jobs::{Action, JobId, Reason, Size, State, WorkerId};

/// Workers compared to make room for one job; bounds the time of one decision.
const CANDIDATES: usize = 32;

/// Jobs of one team looked at per call; a larger give-back takes several calls.
const VICTIMS: usize = 512;

/// Time after which room asked for an urgent job is asked for again.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// Waste of a checkpoint against that of throttling, per processor: a checkpointed job idles for
/// about two seconds, a throttled one only gives up what the urgent job uses.
const CHECKPOINT_WASTE: u64 = 2;

impl Scheduler {
    /// Makes room for urgent jobs and for teams below their share. To be called a few times a
    /// second, after [`next`](Self::next) has returned `None`.
    pub fn balance(&mut self, now: Instant) -> Vec<Action> {
        if !self.tuning.policy.is_fair() {
            return Vec::new();
        }
        let mut actions = self.relieve_urgent(now);
        if actions.is_empty() && self.urgent.is_empty() {
            actions = self.restore();
        }
        actions.extend(self.reclaim(now));
        actions
    }

    /// Takes note that a worker limits the processors of a run.
    pub fn throttled(&mut self, id: JobId, run: u32, processors: u64) {
        let Some(job) = self.jobs.get_mut(id.0).filter(|j| j.run == run) else {
            return;
        };
        let Some(worker) = job.worker else { return };
        if job.stopping.is_some() || processors >= job.charge.processors {
            return;
        }
        let (team, old) = (job.spec.team, job.charge);
        job.throttled += old.processors - processors;
        job.charge.processors = processors;
        let new = job.charge;
        self.throttled.push(id);
        self.placement.resize(worker, old, new);
        self.fairness.resize(team, old, new);
        self.freed();
    }

    fn relieve_urgent(&mut self, now: Instant) -> Vec<Action> {
        let expired = self.kept.iter();
        let expired = expired.filter(|(_, (_, at))| now.since(*at) >= PATIENCE);
        for id in expired.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.unkeep(id);
        }
        let mut waiting: Vec<JobId> = self.urgent.iter().copied().collect();
        waiting.retain(|id| self.waits(*id));
        waiting.truncate(CANDIDATES);
        let mut actions = Vec::new();
        for id in waiting {
            let job = &self.jobs[id.0];
            if self.kept.contains_key(&id) || !self.fairness.below_limit(job.spec.team) {
                continue;
            }
            let size = job.charge;
            actions.extend(self.make_room(id, size, now));
        }
        actions
    }

    /// Chooses the worker on which room for `size` wastes least, by throttling or checkpointing.
    fn make_room(&mut self, urgent: JobId, size: Size, now: Instant) -> Vec<Action> {
        let capacity = self.schedulable();
        let mut teams: Vec<TeamId> = (0..).map(TeamId).take(self.fairness.len()).collect();
        let level = |t: &TeamId| self.fairness.level(*t, capacity);
        teams.sort_by(|a, b| level(b).total_cmp(&level(a)));
        let newest = teams
            .iter()
            .flat_map(|t| self.placed[t.index()].iter().rev().take(8));
        let mut workers: Vec<WorkerId> = Vec::new();
        for (_, id) in newest {
            let Some(worker) = self.jobs[id.0].worker else {
                continue;
            };
            let large_enough = self.placement.worker(worker).capacity.fits(size);
            let free_to_ask = self.placement.is_open(worker) && !self.placement.worker(worker).kept;
            if large_enough && free_to_ask && !workers.contains(&worker) {
                workers.push(worker);
            }
            if workers.len() == CANDIDATES {
                break;
            }
        }
        let options = workers.iter().flat_map(|w| {
            let throttle = self.throttle_cost(*w, size).map(|c| (c, *w, true));
            let checkpoint = self.victims(*w, size).map(|(c, _)| (c, *w, false));
            throttle.into_iter().chain(checkpoint)
        });
        let Some((cost, worker, throttle)) = options.min() else {
            return Vec::new();
        };
        self.placement.set_kept(worker, true);
        self.kept.insert(urgent, (worker, now));
        if throttle {
            return self.throttle(worker, cost);
        }
        let victims = self.victims(worker, size).map_or(Vec::new(), |(_, v)| v);
        let checkpoint = |id| self.checkpoint(id, Reason::Preempted, now);
        victims.into_iter().filter_map(checkpoint).collect()
    }

    /// Ends the keeping of a worker for an urgent job.
    pub(super) fn unkeep(&mut self, urgent: JobId) {
        if let Some((worker, _)) = self.kept.remove(&urgent) {
            self.placement.set_kept(worker, false);
            self.freed();
        }
    }

    /// Processors that throttling has to take for `size` on a worker, if half of what the jobs there
    /// hold suffices.
    fn throttle_cost(&self, worker: WorkerId, size: Size) -> Option<u64> {
        let free = self.placement.worker(worker).free();
        let total: u64 = self.throttle_candidates(worker).map(|(_, n)| n).sum();
        let short = size.processors.saturating_sub(free.processors);
        let others_fit = (free + Size::new(short, 0, 0)).fits(size);
        (others_fit && short > 0 && short <= total / 2).then_some(short)
    }

    fn throttle_candidates(&self, worker: WorkerId) -> impl Iterator<Item = (JobId, u64)> {
        self.on_worker[worker.index()].iter().filter_map(|id| {
            let job = &self.jobs[id.0];
            let may = job.state == State::Running
                && !job.spec.urgent
                && job.throttled == 0
                && job.stopping.is_none();
            may.then_some((*id, job.charge.processors))
        })
    }

    /// Takes `short` processors from the jobs on a worker in proportion to what they hold.
    fn throttle(&self, worker: WorkerId, short: u64) -> Vec<Action> {
        let total: u64 = self.throttle_candidates(worker).map(|(_, n)| n).sum();
        self.throttle_candidates(worker)
            .map(|(id, processors)| Action::Throttle {
                job: id,
                run: self.jobs[id.0].run,
                worker,
                processors: processors - (processors * short).div_ceil(total.max(1)),
            })
            .collect()
    }

    /// Smallest set found of jobs whose checkpoint makes room for `size`, with its cost.
    fn victims(&self, worker: WorkerId, size: Size) -> Option<(u64, Vec<JobId>)> {
        let mut room = self.placement.worker(worker).free();
        let mut movable: Vec<(u64, JobId)> = Vec::new();
        for id in &self.on_worker[worker.index()] {
            let job = &self.jobs[id.0];
            if job.stopping.is_some() {
                // Room on its way is taken by the job that asked for it.
                continue;
            }
            if job.state == State::Running && job.spec.checkpoints && !job.spec.urgent {
                movable.push((job.charge.processors, *id));
            }
        }
        movable.sort_unstable();
        let mut cost = 0;
        let mut victims = Vec::new();
        while !room.fits(size) {
            let short = size - room;
            // The smallest job that alone closes the gap, else the largest one.
            let alone = movable
                .iter()
                .position(|(_, id)| self.jobs[id.0].charge.fits(short));
            let index = alone.or_else(|| movable.len().checked_sub(1))?;
            let (processors, id) = movable.remove(index);
            room = room + self.jobs[id.0].charge;
            cost += processors * CHECKPOINT_WASTE;
            victims.push(id);
        }
        Some((cost, victims))
    }

    /// Gives throttled jobs their processors back where there is room beyond the headroom.
    fn restore(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for id in self.throttled.clone() {
            let job = &mut self.jobs[id.0];
            let Some(worker) = job.worker else { continue };
            let (team, old) = (job.spec.team, job.charge);
            let back = Size::new(job.throttled, 0, 0);
            if !self.placement.worker(worker).free().fits(back) || job.stopping.is_some() {
                continue;
            }
            job.throttled = 0;
            job.charge = old + back;
            let (new, run) = (job.charge, job.run);
            self.throttled.retain(|j| *j != id);
            self.placement.resize(worker, old, new);
            self.fairness.resize(team, old, new);
            actions.push(Action::Throttle {
                job: id,
                run,
                worker,
                processors: new.processors,
            });
        }
        actions
    }

    /// Checkpoints jobs of teams above their share for teams below it that cannot start.
    fn reclaim(&mut self, now: Instant) -> Vec<Action> {
        let capacity = self.schedulable();
        let entitled = self.fairness.entitlements(capacity);
        let mut need = Size::ZERO;
        for (index, share) in entitled.iter().enumerate() {
            let team = TeamId(u32::try_from(index).unwrap_or(u32::MAX));
            if !self.stalled[index] || !self.fairness.below_limit(team) {
                continue;
            }
            let Some(head) = self.lanes[index]
                .iter()
                .find_map(|id| self.waiting_size(*id))
            else {
                continue;
            };
            let missing = share - self.fairness.used(team).dominant(capacity);
            // Whole jobs only: a team less than one job below its share would take and give in turn.
            let jobs = (missing / head.dominant(capacity)).floor().max(0.0) as u64;
            let times = |n: u64| n.saturating_mul(jobs);
            need = need
                + Size::new(
                    times(head.processors),
                    times(head.memory),
                    times(head.accelerators),
                );
        }
        let on_way = self.stopping.iter().fold(Size::ZERO, |a, s| a + *s);
        need = need - on_way;
        // Free memory is rarely fragmented; processors that are free did not fit.
        need.memory = need
            .memory
            .saturating_sub((capacity - self.placement.used()).memory);
        if need == Size::ZERO {
            return Vec::new();
        }
        let mut above: Vec<(f64, TeamId)> = (0..)
            .map(TeamId)
            .zip(&entitled)
            .map(|(team, share)| {
                let holds = self.fairness.used(team) - self.stopping[team.index()];
                (holds.dominant(capacity) - share, team)
            })
            .filter(|(surplus, _)| *surplus > 0.0)
            .collect();
        above.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut actions = Vec::new();
        for (mut surplus, team) in above {
            let newest: Vec<JobId> = self.placed[team.index()]
                .iter()
                .rev()
                .take(VICTIMS)
                .map(|(_, id)| *id)
                .collect();
            for id in newest {
                let job = &self.jobs[id.0];
                let part = job.charge.dominant(capacity);
                if need == Size::ZERO || surplus < part {
                    break;
                }
                let plain = need.processors > 0 || need.memory > 0;
                let helps = plain && job.charge.accelerators == 0
                    || need.accelerators > 0 && job.charge.accelerators > 0;
                if job.spec.urgent || !helps {
                    continue;
                }
                let charge = job.charge;
                if let Some(action) = self.checkpoint(id, Reason::Reclaimed, now) {
                    actions.push(action);
                    surplus -= part;
                    need = need - charge;
                }
            }
        }
        actions
    }

    fn waiting_size(&self, id: JobId) -> Option<Size> {
        let job = self.jobs.get(id.0)?;
        (job.state.is_waiting() && job.due.is_none()).then_some(job.charge)
    }
}
