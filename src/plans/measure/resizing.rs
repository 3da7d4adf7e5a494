//! Days on which sizes change and instances fail.

use std::time::Duration;

use super::Random;
use crate::clock::{self, Instant};
use crate::fleet::{Document, PoolId, Registry};
use crate::pools::{Action, InstanceId, Move, Phase, Planner, State, Step};

const DAYS: u32 = 180;

/// Instances that fail on one day, per 1,000: 12 of 2,300.
const FAILURES: u64 = 5;

/// Failures in 10 that last for [`HOURS`]; the others end after [`SHORT`]. Assumed.
const LONG: u64 = 1;

const SHORT: Duration = Duration::from_secs(1800);

const HOURS: Duration = Duration::from_secs(8 * 3600);

/// Outcome of the days, and of the baseline over the same days.
#[derive(Default)]
pub(super) struct Resizing {
    pub(super) planned: u32,
    pub(super) minimum: u32,
    pub(super) naive: u32,
    /// Moves left undone at the end of a day, summed over the days.
    pub(super) unreached: u32,
    pub(super) unreached_naive: u32,
    pub(super) violations: u32,
    pub(super) deciding: Duration,
    pub(super) decisions: u32,
}

/// Events of one day.
struct Day {
    sizes: Document,
    short: Vec<InstanceId>,
    long: Vec<InstanceId>,
}

pub(super) fn run(
    state: &State,
    document: &Document,
    mut registry: Registry,
    seed: u64,
) -> Resizing {
    let mut out = Resizing::default();
    let mut random = Random::new(seed);
    let (mut ours, mut naive, mut ideal) = (state.clone(), state.clone(), state.clone());
    let mut sizes = document.clone();
    for number in 1..=DAYS {
        let day = draw(&mut random, &mut sizes, state);
        for state in [&mut ours, &mut naive, &mut ideal] {
            state.adopt(&day.sizes, &mut registry);
        }
        let morning = Instant::default() + Duration::from_secs(u64::from(number) * 86_400);
        out.minimum += Planner::minimum(morning, &ideal);
        ideal = Resizing::default().follow(morning, ideal);
        for state in [&mut ours, &mut naive] {
            set(state, morning, &day.short, true);
            set(state, morning, &day.long, true);
        }
        // What is down recovers in two steps; the managers act after each event.
        let (noon, evening) = (morning + SHORT, morning + HOURS);
        for (now, back) in [(morning, &[][..]), (noon, &day.short), (evening, &day.long)] {
            set(&mut ours, now, back, false);
            ours = out.follow(now, ours);
            set(&mut naive, now, back, false);
            naive = out.follow_naive(now, naive);
        }
        out.unreached += Planner::minimum(evening, &ours);
        out.unreached_naive += Planner::minimum(evening, &naive);
    }
    out
}

/// Shifts up to a tenth of some pools to others, and lets instances fail.
fn draw(random: &mut Random, sizes: &mut Document, state: &State) -> Day {
    let pools = sizes.pools.len() as u64;
    for _ in 0..random.between(1, 1 + pools / 8) {
        let [from, to] = [0; 2].map(|_| random.below(pools) as usize);
        let pool = &sizes.pools[from];
        let most = u64::from(pool.size / 10);
        let least = u64::from(pool.budget.unavailable + pool.budget.rack + 1);
        let spared = u64::from(pool.size).saturating_sub(least);
        let shift = random.between(0, most.min(spared)) as u32;
        sizes.pools[from].size -= shift;
        sizes.pools[to].size += shift;
    }
    let total = state.instances().count() as u64;
    let mut some = |per_mille: u64| {
        let count = (total * per_mille + random.below(1000)) / 1000;
        (0..count)
            .map(|_| InstanceId(random.below(total) as u32))
            .collect::<Vec<_>>()
    };
    let failed = some(FAILURES);
    let (long, short) = failed
        .into_iter()
        .partition(|id| u64::from(id.0) % 10 < LONG);
    Day {
        sizes: sizes.clone(),
        short,
        long,
    }
}

/// Lets instances fail or come back.
fn set(state: &mut State, now: Instant, ids: &[InstanceId], down: bool) {
    for id in ids {
        let action = if down {
            Action::Fail
        } else {
            Action::Admit { unix: 0 }
        };
        let is_down = state.instance(*id).phase == Phase::Down;
        if is_down != down {
            take(state, now, Step::new(*id, action));
        }
    }
}

fn take(state: &mut State, now: Instant, step: Step) -> bool {
    let change = state.draft(&[step]).ok();
    change.is_some_and(|change| {
        state.apply(now, &change);
        true
    })
}

impl Resizing {
    /// Moves as the planner says until it has nothing left that may start.
    fn follow(&mut self, now: Instant, mut state: State) -> State {
        loop {
            let before = clock::now();
            let moves = Planner::plan(now, &state);
            self.deciding += clock::now().since(before);
            self.decisions += 1;
            let started = self.start(now, &mut state, &moves);
            self.planned += started;
            if started == 0 {
                return state;
            }
        }
    }

    /// Gives every surplus instance and every failed one's place to the spare pool first.
    fn follow_naive(&mut self, now: Instant, mut state: State) -> State {
        loop {
            let moves = list_order(&state);
            let started = self.start(now, &mut state, &moves);
            self.naive += started;
            if started == 0 {
                return state;
            }
        }
    }

    /// Starts the moves that the budgets allow together and brings them to their end.
    fn start(&mut self, now: Instant, state: &mut State, moves: &[Move]) -> u32 {
        let started: Vec<&Move> = moves
            .iter()
            .filter(|planned| take(state, now, planned.start()))
            .collect();
        for planned in &started {
            let (count, limit) = state.unavailable(planned.from);
            self.violations += u32::from(count > limit);
        }
        for planned in &started {
            let proceed = Action::Proceed { incarnation: 1 };
            take(state, now, Step::new(planned.instance, proceed));
            let admit = Action::Admit { unix: 0 };
            take(state, now, Step::new(planned.instance, admit));
        }
        started.len() as u32
    }
}

/// Moves of the baseline: surplus to the spare pool, then from there to pools that lack some.
fn list_order(state: &State) -> Vec<Move> {
    let Some(spare) = state.spare() else {
        return Vec::new();
    };
    let serving = |pool: PoolId| {
        let members = state.pool(pool).into_iter().flat_map(|p| &p.members);
        let serving = members.filter(|id| state.instance(**id).phase == Phase::Serving);
        serving.copied().collect::<Vec<_>>()
    };
    let mut moves = Vec::new();
    let mut spares = serving(spare).into_iter();
    for (id, pool) in state.pools().filter(|(id, _)| *id != spare) {
        let have = serving(id);
        let size = pool.size as usize;
        for instance in have.iter().skip(size) {
            moves.push(Move {
                instance: *instance,
                from: id,
                to: spare,
            });
        }
        for instance in spares.by_ref().take(size.saturating_sub(have.len())) {
            moves.push(Move {
                instance,
                from: spare,
                to: id,
            });
        }
    }
    moves
}
