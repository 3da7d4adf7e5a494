//! Maintenance of a whole fleet in which nothing fails.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::{Random, START, mean};
use crate::clock::{self, Instant};
use crate::fleet::{self, Document, PoolId, Registry};
use crate::plans::{Calendar, Plan, Wait, Window};
use crate::pools::{Action, InstanceId, Phase, State, Step};

/// Time between two turns of the manager when nothing else happens.
const TURN: Duration = Duration::from_secs(60);

/// Time after which a run that makes no progress is given up.
const GIVE_UP: Duration = Duration::from_secs(21 * 86_400);

/// Seconds of a drain and of a reboot, least and most; assumed, not measured on real machines.
const DRAIN: (u64, u64) = (10, 300);
const REBOOT: (u64, u64) = (240, 600);

/// Outcome of the maintenance of one fleet.
pub(super) struct Rollout {
    pub(super) took: Duration,
    pub(super) bound: Duration,
    pub(super) worst_ratio: f64,
    pub(super) naive: Duration,
    pub(super) violations: u32,
    pub(super) decision: Duration,
    pub(super) longest: Duration,
}

/// One run: plans of all pools over one state.
struct Run {
    state: State,
    plans: Vec<Plan>,
    ends: Vec<Option<Instant>>,
    seconds: Vec<(u64, u64)>,
    events: BinaryHeap<Reverse<(Instant, InstanceId)>>,
    calendar: Calendar,
    deciding: Duration,
    longest: Duration,
    decisions: u32,
    violations: u32,
}

pub(super) fn run(
    state: &State,
    document: &Document,
    registry: &mut Registry,
    seed: u64,
) -> Rollout {
    let mut random = Random::new(seed);
    let mut one = |(least, most)| random.between(least, most);
    let seconds: Vec<_> = state
        .instances()
        .map(|_| (one(DRAIN), one(REBOOT)))
        .collect();
    let entries = entries(document);
    let plan = |entry: &fleet::Plan| Plan::new(entry, registry.pool(&entry.pool));
    let plans: Vec<Plan> = entries.iter().map(plan).collect();
    let start = Instant::default();
    let mut run = Run {
        state: state.clone(),
        ends: vec![None; plans.len()],
        plans,
        seconds,
        events: BinaryHeap::new(),
        calendar: Calendar::new(start, START),
        deciding: Duration::ZERO,
        longest: Duration::ZERO,
        decisions: 0,
        violations: 0,
    };
    run.go(start);
    let mut out = Rollout {
        took: Duration::ZERO,
        bound: Duration::ZERO,
        worst_ratio: 0.0,
        naive: Duration::ZERO,
        violations: run.violations,
        decision: mean(run.deciding, run.decisions),
        longest: run.longest,
    };
    for ((entry, plan), end) in entries.iter().zip(&run.plans).zip(&run.ends) {
        let took = end.map_or(GIVE_UP, |end| end.since(start));
        let (bound, naive) = run.bounds(plan.pool, &Window::of(entry), state);
        out.took = out.took.max(took);
        out.bound = out.bound.max(bound);
        out.naive = out.naive.max(naive);
        let ratio = took.as_secs_f64() / bound.as_secs_f64().max(1.0);
        out.worst_ratio = out.worst_ratio.max(ratio);
    }
    out
}

/// Plans of the document, and plans without a window for pools that have none.
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
    fn go(&mut self, start: Instant) {
        let mut now = start;
        let mut turn = start;
        while self.ends.iter().any(Option::is_none) && now.since(start) < GIVE_UP {
            let mut touched: Vec<PoolId> = Vec::new();
            while let Some(Reverse((at, id))) = self.events.peek().copied() {
                if at > now {
                    break;
                }
                self.events.pop();
                touched.push(self.state.instance(id).pool);
                self.advance(now, id);
            }
            let all = now >= turn;
            if all {
                turn = now + TURN;
            }
            for i in 0..self.plans.len() {
                if self.ends[i].is_none() && (all || touched.contains(&self.plans[i].pool)) {
                    self.decide(now, i);
                }
            }
            let next = self.events.peek().map(|Reverse((at, _))| *at);
            now = next.map_or(turn, |at| at.min(turn)).max(now);
        }
    }

    /// Takes the next step of an instance under maintenance.
    fn advance(&mut self, now: Instant, id: InstanceId) {
        let action = match self.state.instance(id).phase {
            Phase::Draining => Action::Proceed { incarnation: 1 },
            _ => Action::Admit {
                unix: self.calendar.unix(now),
            },
        };
        self.take(now, &[Step::new(id, action)]);
        if self.state.instance(id).phase == Phase::Rebooting {
            let at = now + Duration::from_secs(self.seconds[id.index()].1);
            self.events.push(Reverse((at, id)));
        }
    }

    fn decide(&mut self, now: Instant, plan: usize) {
        let before = clock::now();
        let chosen = self.plans[plan].choose(now, &self.calendar, &self.state);
        let took = clock::now().since(before);
        self.deciding += took;
        self.longest = self.longest.max(took);
        self.decisions += 1;
        match chosen {
            Err(Wait::Done) => self.ends[plan] = Some(now),
            Err(_) => {}
            Ok(wave) => {
                self.take(now, &wave.steps);
                self.plans[plan].started(now, &wave, &self.state);
                for step in &wave.steps {
                    let at = now + Duration::from_secs(self.seconds[step.instance.index()].0);
                    self.events.push(Reverse((at, step.instance)));
                }
            }
        }
    }

    fn take(&mut self, now: Instant, steps: &[Step]) {
        let pool = self.state.instance(steps[0].instance).pool;
        let change = self.state.draft(steps).expect("steps were checked");
        self.state.apply(now, &change);
        let (count, limit) = self.state.unavailable(pool);
        self.violations += u32::from(count > limit);
    }

    /// Returns the least time that the budget allows, and the time of one instance after another.
    fn bounds(&self, pool: PoolId, window: &Window, state: &State) -> (Duration, Duration) {
        let Some(pool) = state.pool(pool) else {
            return Default::default();
        };
        let seconds = |id: &InstanceId| {
            let (drain, reboot) = self.seconds[id.index()];
            drain + reboot
        };
        let work: u64 = pool.members.iter().map(seconds).sum();
        let longest = pool.members.iter().map(seconds).max().unwrap_or(0);
        let least = work.div_ceil(u64::from(pool.budget.unavailable.max(1)));
        let bound = window.after(START, least.max(longest)) - START;
        let mut unix = window.opens(START);
        for one in pool.members.iter().map(seconds) {
            if window.left(unix) < one {
                let left = window.left(unix);
                unix = window.opens(unix + left);
            }
            unix += one;
        }
        (
            Duration::from_secs(bound),
            Duration::from_secs(unix - START),
        )
    }
}
