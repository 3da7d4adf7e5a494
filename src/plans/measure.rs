//! Runs the decisions over whole fleets, without network or waiting, against a naive baseline.
//!
//! The baseline maintains one instance of a pool at a time, keeps a buffer for each pool, and
//! moves instances by way of the spare pool in the order of the lists.

mod random;
mod report;
mod resizing;
mod rollout;
mod shape;

use std::time::Duration;

pub use random::Random;
pub use report::Report;
pub use shape::Shape;

use crate::clock::Instant;
use crate::fleet::{Document, Registry};
use crate::platform;
use crate::pools::{Reserve, State, Tenure};

/// Start of the runs in seconds since 1970: midnight, at the start of a period of 21 days.
const START: u64 = 900 * 21 * 86_400;

/// Measures moves, roll-out, buffer, decision time and memory over one fleet.
///
/// Decision times depend on the machine; everything else on the arguments only.
///
/// ```
/// use coriandernotch::plans::measure::{Shape, run};
///
/// let (document, listing) = Shape::Huallaga.build(1);
/// let report = run("huallaga", &document, &listing, 1);
/// assert!(report.moves_ratio() < 1.1);
/// ```
pub fn run(name: &str, document: &Document, listing: &[platform::Instance], seed: u64) -> Report {
    let mut registry = Registry::default();
    let start = Instant::default();
    let tenure = Tenure::new(1);
    let state = State::build(start, &tenure, document, &mut registry, listing);
    let reserve = Reserve::of(&state);
    let rollout = rollout::run(&state, document, &mut registry, seed);
    let moves = resizing::run(&state, document, registry, seed);
    Report {
        shape: name.into(),
        instances: state.instances().count(),
        pools: state.pools().count(),
        moves: moves.planned,
        moves_minimum: moves.minimum,
        moves_naive: moves.naive,
        moves_undone: moves.unreached,
        moves_undone_naive: moves.unreached_naive,
        rollout: rollout.took,
        rollout_bound: rollout.bound,
        rollout_worst_ratio: rollout.worst_ratio,
        rollout_naive: rollout.naive,
        budget_violations: rollout.violations + moves.violations,
        reserve,
        wave_decision: rollout.decision,
        wave_decision_longest: rollout.longest,
        move_decision: mean(moves.deciding, moves.decisions),
        state_bytes: state.bytes(),
    }
}

fn mean(total: Duration, count: u32) -> Duration {
    total.checked_div(count).unwrap_or_default()
}
