//! Simulation of days on which pool sizes change and instances fail.

use std::time::Duration;

use crate::clock::{self, Instant};
use crate::fleet::{Document, PoolId, Registry};
use crate::pools::{Action, InstanceId, Move, Phase, Planner, State, Step};
use crate::random::Random;

const SIMULATED_DAYS: u32 = 180;

/// Instances that fail in one day, per 1,000; this makes about 12 of 2,300.
const FAILURES_PER_MILLE: u64 = 5;

/// Failures in 10 that last for [`LONG_OUTAGE`]; the others last for [`SHORT_OUTAGE`].
const LONG_FAILURES_PER_TEN: u64 = 1;

const SHORT_OUTAGE: Duration = Duration::from_secs(1800);

const LONG_OUTAGE: Duration = Duration::from_secs(8 * 3600);

/// Totals over all days, for the planner and for the baseline.
#[derive(Default)]
pub(super) struct Resizing {
    pub(super) moves: u32,
    pub(super) moves_minimum: u32,
    pub(super) moves_naive: u32,
    /// Moves left to do at the end of a day, summed over the days.
    pub(super) moves_undone: u32,
    pub(super) moves_undone_naive: u32,
    pub(super) budget_violations: u32,
    pub(super) decision_time: Duration,
    pub(super) decisions: u32,
}

/// Resized document and failures of one day.
struct Day {
    document: Document,
    short_outages: Vec<InstanceId>,
    long_outages: Vec<InstanceId>,
}

pub(super) fn run(
    state: &State,
    document: &Document,
    mut registry: Registry,
    seed: u64,
) -> Resizing {
    let mut totals = Resizing::default();
    let mut random = Random::new(seed);
    let (mut planned, mut baseline, mut failure_free) =
        (state.clone(), state.clone(), state.clone());
    let mut resized = document.clone();
    for day_number in 1..=SIMULATED_DAYS {
        let day = draw_day(&mut random, &mut resized, state);
        for state in [&mut planned, &mut baseline, &mut failure_free] {
            state.update_pools(&day.document, &mut registry);
        }
        let day_start = Instant::default() + Duration::from_secs(u64::from(day_number) * 86_400);
        totals.moves_minimum += Planner::minimum_moves(day_start, &failure_free);
        failure_free = Resizing::default().run_planner(day_start, failure_free);
        for state in [&mut planned, &mut baseline] {
            set_down(state, day_start, &day.short_outages, true);
            set_down(state, day_start, &day.long_outages, true);
        }
        // Failed instances return in two groups; planner and baseline run after each event.
        let (short_outage_end, long_outage_end) =
            (day_start + SHORT_OUTAGE, day_start + LONG_OUTAGE);
        for (now, recovered) in [
            (day_start, &[][..]),
            (short_outage_end, &day.short_outages),
            (long_outage_end, &day.long_outages),
        ] {
            set_down(&mut planned, now, recovered, false);
            planned = totals.run_planner(now, planned);
            set_down(&mut baseline, now, recovered, false);
            baseline = totals.run_baseline(now, baseline);
        }
        totals.moves_undone += Planner::minimum_moves(long_outage_end, &planned);
        totals.moves_undone_naive += Planner::minimum_moves(long_outage_end, &baseline);
    }
    totals
}

/// Draws the events of a day: up to a tenth of some pools goes to others, and instances fail.
fn draw_day(random: &mut Random, resized: &mut Document, state: &State) -> Day {
    let pools = resized.pools.len() as u64;
    for _ in 0..random.between(1, 1 + pools / 8) {
        let [from, to] = [0; 2].map(|_| random.below(pools) as usize);
        let pool = &resized.pools[from];
        let largest_shift = u64::from(pool.size / 10);
        let smallest_size = u64::from(pool.budget.unavailable + pool.budget.rack + 1);
        let available = u64::from(pool.size).saturating_sub(smallest_size);
        let shift = random.between(0, largest_shift.min(available)) as u32;
        resized.pools[from].size -= shift;
        resized.pools[to].size += shift;
    }
    let total = state.instances().count() as u64;
    let mut draw_instances = |per_mille: u64| {
        let count = (total * per_mille + random.below(1000)) / 1000;
        (0..count)
            .map(|_| InstanceId(random.below(total) as u32))
            .collect::<Vec<_>>()
    };
    let failed = draw_instances(FAILURES_PER_MILLE);
    let (long_outages, short_outages) = failed
        .into_iter()
        .partition(|id| u64::from(id.0) % 10 < LONG_FAILURES_PER_TEN);
    Day {
        document: resized.clone(),
        short_outages,
        long_outages,
    }
}

/// Marks instances as failed or as recovered.
fn set_down(state: &mut State, now: Instant, ids: &[InstanceId], down: bool) {
    for id in ids {
        let action = if down {
            Action::Fail
        } else {
            Action::Admit { unix: 0 }
        };
        let is_down = state.instance(*id).phase == Phase::Down;
        if is_down != down {
            try_step(state, now, Step::new(*id, action));
        }
    }
}

/// Applies a step if it is allowed; returns whether it was.
fn try_step(state: &mut State, now: Instant, step: Step) -> bool {
    let change = state.draft(&[step]).ok();
    change.is_some_and(|change| {
        state.apply(now, &change);
        true
    })
}

impl Resizing {
    /// Carries out the moves of the planner until none of them may start.
    fn run_planner(&mut self, now: Instant, mut state: State) -> State {
        loop {
            let before = clock::now();
            let moves = Planner::plan(now, &state);
            self.decision_time += clock::now().since(before);
            self.decisions += 1;
            let started = self.start_moves(now, &mut state, &moves);
            self.moves += started;
            if started == 0 {
                return state;
            }
        }
    }

    /// Carries out the moves of the baseline until none of them may start.
    fn run_baseline(&mut self, now: Instant, mut state: State) -> State {
        loop {
            let moves = baseline_moves(&state);
            let started = self.start_moves(now, &mut state, &moves);
            self.moves_naive += started;
            if started == 0 {
                return state;
            }
        }
    }

    /// Starts the moves that the budgets allow together, completes them and returns their number.
    fn start_moves(&mut self, now: Instant, state: &mut State, moves: &[Move]) -> u32 {
        let started: Vec<&Move> = moves
            .iter()
            .filter(|planned_move| try_step(state, now, planned_move.start()))
            .collect();
        for planned_move in &started {
            let (count, limit) = state.unavailable(planned_move.from);
            self.budget_violations += u32::from(count > limit);
        }
        for planned_move in &started {
            let proceed = Action::Proceed { incarnation: 1 };
            try_step(state, now, Step::new(planned_move.instance, proceed));
            let admit = Action::Admit { unix: 0 };
            try_step(state, now, Step::new(planned_move.instance, admit));
        }
        started.len() as u32
    }
}

/// Lists the moves of the baseline, in list order: surplus instances to the spare pool, and spare
/// instances to pools that have too few serving.
fn baseline_moves(state: &State) -> Vec<Move> {
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
        let members = serving(id);
        let size = pool.size as usize;
        for instance in members.iter().skip(size) {
            moves.push(Move {
                instance: *instance,
                from: id,
                to: spare,
            });
        }
        for instance in spares.by_ref().take(size.saturating_sub(members.len())) {
            moves.push(Move {
                instance,
                from: spare,
                to: id,
            });
        }
    }
    moves
}
