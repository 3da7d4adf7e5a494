//! Simulation of the maintenance of a whole fleet in which nothing fails.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::{START_UNIX_TIME, mean};
use crate::clock::{self, Instant};
use crate::fleet::{self, Document, PoolId, Registry};
use crate::plans::{Blocker, Calendar, Plan, Window};
use crate::pools::{Action, InstanceId, Phase, State, Step};
use crate::random::Random;

/// Interval between turns of the manager while no instance ends a drain or reboot.
const TURN_INTERVAL: Duration = Duration::from_secs(60);

/// Simulated time after which a run that has not ended is stopped.
const GIVE_UP_AFTER: Duration = Duration::from_secs(21 * 86_400);

/// Shortest and longest drain.
const DRAIN_SECONDS: (u64, u64) = (10, 300);

/// Shortest and longest reboot.
const REBOOT_SECONDS: (u64, u64) = (240, 600);

/// Results of the maintenance of one fleet.
pub(super) struct Rollout {
    pub(super) duration: Duration,
    pub(super) lower_bound: Duration,
    pub(super) worst_ratio: f64,
    pub(super) naive: Duration,
    pub(super) budget_violations: u32,
    pub(super) decision_mean: Duration,
    pub(super) decision_longest: Duration,
}

/// One simulation: the plans of all pools over one state.
struct Run {
    state: State,
    plans: Vec<Plan>,
    /// When each plan found every instance of its pool maintained, or `None` before that.
    ended_at: Vec<Option<Instant>>,
    /// Seconds of the drain and of the reboot of each instance.
    step_seconds: Vec<(u64, u64)>,
    /// Ends of drains and reboots, earliest first.
    events: BinaryHeap<Reverse<(Instant, InstanceId)>>,
    calendar: Calendar,
    decision_time: Duration,
    decision_longest: Duration,
    decisions: u32,
    budget_violations: u32,
}

pub(super) fn run(
    state: &State,
    document: &Document,
    registry: &mut Registry,
    seed: u64,
) -> Rollout {
    let mut random = Random::new(seed);
    let mut draw_seconds = |(shortest, longest)| random.between(shortest, longest);
    let step_seconds: Vec<_> = state
        .instances()
        .map(|_| (draw_seconds(DRAIN_SECONDS), draw_seconds(REBOOT_SECONDS)))
        .collect();
    let entries = entries(document);
    let plan = |entry: &fleet::Plan| Plan::new(entry, registry.pool(&entry.pool));
    let plans: Vec<Plan> = entries.iter().map(plan).collect();
    let start = Instant::default();
    let mut run = Run {
        state: state.clone(),
        ended_at: vec![None; plans.len()],
        plans,
        step_seconds,
        events: BinaryHeap::new(),
        calendar: Calendar::new(start, START_UNIX_TIME),
        decision_time: Duration::ZERO,
        decision_longest: Duration::ZERO,
        decisions: 0,
        budget_violations: 0,
    };
    run.run_to_end(start);
    let mut rollout = Rollout {
        duration: Duration::ZERO,
        lower_bound: Duration::ZERO,
        worst_ratio: 0.0,
        naive: Duration::ZERO,
        budget_violations: run.budget_violations,
        decision_mean: mean(run.decision_time, run.decisions),
        decision_longest: run.decision_longest,
    };
    for ((entry, plan), end) in entries.iter().zip(&run.plans).zip(&run.ended_at) {
        let took = end.map_or(GIVE_UP_AFTER, |end| end.since(start));
        let (lower_bound, naive) = run.bounds(plan.pool, &Window::of(entry), state);
        rollout.duration = rollout.duration.max(took);
        rollout.lower_bound = rollout.lower_bound.max(lower_bound);
        rollout.naive = rollout.naive.max(naive);
        let ratio = took.as_secs_f64() / lower_bound.as_secs_f64().max(1.0);
        rollout.worst_ratio = rollout.worst_ratio.max(ratio);
    }
    rollout
}

/// Returns the plans of the document, and one that is always open for each other pool that has an
/// availability budget.
fn entries(document: &Document) -> Vec<fleet::Plan> {
    let missing = document.pools.iter().filter(|pool| {
        pool.budget.unavailable > 0 && !document.plans.iter().any(|plan| plan.pool == pool.name)
    });
    let new = missing.map(|pool| fleet::Plan {
        name: pool.name.clone(),
        pool: pool.name.clone(),
        period_days: 21,
        window_start_hour: 0,
        window_hours: 24,
        paused: false,
    });
    document.plans.iter().cloned().chain(new).collect()
}

impl Run {
    /// Simulates time until every plan has ended or [`GIVE_UP_AFTER`] has passed.
    fn run_to_end(&mut self, start: Instant) {
        let mut now = start;
        let mut next_turn = start;
        while self.ended_at.iter().any(Option::is_none) && now.since(start) < GIVE_UP_AFTER {
            let mut changed_pools: Vec<PoolId> = Vec::new();
            while let Some(Reverse((due_at, id))) = self.events.peek().copied() {
                if due_at > now {
                    break;
                }
                self.events.pop();
                changed_pools.push(self.state.instance(id).pool);
                self.advance(now, id);
            }
            let is_turn = now >= next_turn;
            if is_turn {
                next_turn = now + TURN_INTERVAL;
            }
            for i in 0..self.plans.len() {
                if self.ended_at[i].is_none()
                    && (is_turn || changed_pools.contains(&self.plans[i].pool))
                {
                    self.decide(now, i);
                }
            }
            let next = self.events.peek().map(|Reverse((due_at, _))| *due_at);
            now = next
                .map_or(next_turn, |due_at| due_at.min(next_turn))
                .max(now);
        }
    }

    /// Ends the drain or the reboot of an instance.
    fn advance(&mut self, now: Instant, id: InstanceId) {
        let action = match self.state.instance(id).phase {
            Phase::Draining => Action::Proceed { incarnation: 1 },
            _ => Action::Admit {
                unix: self.calendar.unix_time(now),
            },
        };
        self.apply_steps(now, &[Step::new(id, action)]);
        if self.state.instance(id).phase == Phase::Rebooting {
            let due_at = now + Duration::from_secs(self.step_seconds[id.index()].1);
            self.events.push(Reverse((due_at, id)));
        }
    }

    /// Lets a plan choose a wave, measures the time it takes, and starts the wave.
    fn decide(&mut self, now: Instant, plan_index: usize) {
        let before = clock::now();
        let chosen = self.plans[plan_index].choose(now, &self.calendar, &self.state);
        let took = clock::now().since(before);
        self.decision_time += took;
        self.decision_longest = self.decision_longest.max(took);
        self.decisions += 1;
        match chosen {
            Err(Blocker::Done) => self.ended_at[plan_index] = Some(now),
            Err(_) => {}
            Ok(wave) => {
                self.apply_steps(now, &wave.steps);
                self.plans[plan_index].record_start(now, &wave, &self.state);
                for step in &wave.steps {
                    let due_at =
                        now + Duration::from_secs(self.step_seconds[step.instance.index()].0);
                    self.events.push(Reverse((due_at, step.instance)));
                }
            }
        }
    }

    /// Applies steps and counts a violation if they exceed the budget of their pool.
    fn apply_steps(&mut self, now: Instant, steps: &[Step]) {
        let pool = self.state.instance(steps[0].instance).pool;
        let change = self.state.draft(steps).expect("the plan checked the steps");
        self.state.apply(now, &change);
        let (count, limit) = self.state.unavailable(pool);
        self.budget_violations += u32::from(count > limit);
    }

    /// Returns the lower bound of the roll-out time under the budget, and the time of the baseline,
    /// which maintains one instance after another.
    fn bounds(&self, pool: PoolId, window: &Window, state: &State) -> (Duration, Duration) {
        let Some(pool) = state.pool(pool) else {
            return Default::default();
        };
        let maintenance_seconds = |id: &InstanceId| {
            let (drain, reboot) = self.step_seconds[id.index()];
            drain + reboot
        };
        let work_seconds: u64 = pool.members.iter().map(maintenance_seconds).sum();
        let longest = pool
            .members
            .iter()
            .map(maintenance_seconds)
            .max()
            .unwrap_or(0);
        let budget_bound = work_seconds.div_ceil(u64::from(pool.budget.unavailable.max(1)));
        let lower_bound =
            window.end_of_work(START_UNIX_TIME, budget_bound.max(longest)) - START_UNIX_TIME;
        let mut unix_time = window.next_opening(START_UNIX_TIME);
        for seconds in pool.members.iter().map(maintenance_seconds) {
            if window.remaining(unix_time) < seconds {
                let remaining = window.remaining(unix_time);
                unix_time = window.next_opening(unix_time + remaining);
            }
            unix_time += seconds;
        }
        (
            Duration::from_secs(lower_bound),
            Duration::from_secs(unix_time - START_UNIX_TIME),
        )
    }
}
