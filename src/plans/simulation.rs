//! Simulates moves and maintenance of whole fleets and compares them with a naive baseline.
//!
//! The simulation uses neither network nor real time. The baseline maintains one instance of a
//! pool at a time, keeps a separate buffer for each pool, and moves every instance through the
//! spare pool in list order.

mod report;
mod resizing;
mod rollout;
mod shape;

use std::time::Duration;

pub use report::Report;
pub use shape::Shape;

use crate::clock::Instant;
use crate::fleet::{Document, Registry};
use crate::platform;
use crate::pools::{Reserve, State, Tenure};

/// Start of the simulated time in seconds since 1970: midnight at the start of a 21-day period.
const START_UNIX_TIME: u64 = 900 * 21 * 86_400;

/// Measures moves, roll-out time, buffer sizes, decision times and memory of one fleet.
///
/// Decision times depend on the machine; all other results depend only on the arguments.
///
/// ```
/// use coriandernotch::plans::simulation::{Shape, run};
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
    let resizing = resizing::run(&state, document, registry, seed);
    Report {
        shape: name.into(),
        instances: state.instances().count(),
        pools: state.pools().count(),
        moves: resizing.moves,
        moves_minimum: resizing.moves_minimum,
        moves_naive: resizing.moves_naive,
        moves_undone: resizing.moves_undone,
        moves_undone_naive: resizing.moves_undone_naive,
        rollout: rollout.duration,
        rollout_bound: rollout.lower_bound,
        rollout_worst_ratio: rollout.worst_ratio,
        rollout_naive: rollout.naive,
        budget_violations: rollout.budget_violations + resizing.budget_violations,
        reserve,
        wave_decision: rollout.decision_mean,
        wave_decision_longest: rollout.decision_longest,
        move_decision: mean(resizing.decision_time, resizing.decisions),
        state_bytes: state.allocated_bytes(),
    }
}

fn mean(total: Duration, count: u32) -> Duration {
    total.checked_div(count).unwrap_or_default()
}
