use strum::IntoEnumIterator;

use super::layout::Layout;
use super::tally::Tally;
use super::world::World;
use super::{Bound, Report, Row, Shape};
use crate::jobs::{Policy, Tuning};

/// Minutes left out of the figures on shares, in which sizes are learned; reported on their own.
const WARM_UP: usize = 1;

/// Measures every policy, and the baseline `first-fit`, over `shape`.
///
/// Decision times are those of this machine; all other figures depend on the seed alone.
///
/// ```no_run
/// use coriandernotch::measure::{self, Shape};
///
/// println!("{}", measure::run(Shape::Huallaga, 1));
/// ```
pub fn run(shape: Shape, seed: u64) -> Report {
    let layout = Layout::new(shape);
    let mut report = Report::new(shape, seed);
    for policy in Policy::iter() {
        let tuning = Tuning {
            policy,
            ..Tuning::default()
        };
        let tally = World::new(layout, tuning, seed).run();
        add_jobs(&mut report, &layout, policy, &tally);
    }
    report
}

fn add_jobs(report: &mut Report, layout: &Layout, policy: Policy, tally: &Tally) {
    let name = policy.to_string();
    let shares = tally.deviation(WARM_UP);
    let first = tally.deviation(0);
    let (decision, decision_p99) = Tally::times(&tally.decisions, 0.99);
    let (balance, balance_p99) = Tally::times(&tally.balances, 0.99);
    let ratio = |[part, whole]: [f64; 2]| part / whole * 100.0;
    let workers = f64::from(layout.workers);
    let rows = [
        (
            "worst workspace from its share, full minute",
            shares.below.max(shares.above),
            "%",
            Some(Bound::Most(5.0)),
        ),
        ("worst workspace below its share", shares.below, "%", None),
        ("worst workspace above its share", shares.above, "%", None),
        ("mean distance from share", shares.mean, "%", None),
        (
            "worst workspace below its share, learning minute included",
            first.below,
            "%",
            None,
        ),
        (
            "work in data centre change, of usable rest",
            ratio(tally.change),
            "%",
            Some(Bound::Least(95.0)),
        ),
        (
            "processors used in change, of all that remain",
            ratio(tally.change_raw),
            "%",
            None,
        ),
        (
            "urgent start p99",
            tally.urgent_quantile(0.99),
            "s",
            Some(Bound::Most(1.3)),
        ),
        ("urgent start worst", tally.urgent_quantile(1.0), "s", None),
        ("urgent jobs", tally.urgent.len() as f64, "count", None),
        ("decision mean", decision, "us", Some(Bound::Most(100.0))),
        ("decision p99", decision_p99, "us", None),
        ("balance mean", balance, "us", None),
        ("balance p99", balance_p99, "us", None),
        (
            "buffer cost, idle processors while jobs wait",
            100.0 - ratio(tally.busy),
            "%",
            None,
        ),
        (
            "not reserved while jobs wait",
            100.0 - tally.reserved / tally.busy[1] * 100.0,
            "%",
            None,
        ),
        (
            "control state",
            tally.footprint as f64 / 1_048_576.0,
            "MiB",
            Some(Bound::Most(64.0)),
        ),
        (
            "memory per 1,000 workers",
            tally.footprint as f64 / workers * 1_000.0 / 1_048_576.0,
            "MiB",
            None,
        ),
        (
            "starts on the worker that fails everything",
            f64::from(tally.wasted),
            "count",
            None,
        ),
        ("most jobs known", tally.known as f64, "count", None),
        ("jobs succeeded", f64::from(tally.succeeded), "count", None),
        ("checkpoints", f64::from(tally.checkpoints), "count", None),
    ];
    for (measure, value, unit, bound) in rows {
        let row = Row::new(measure, &name, value, unit);
        report.push(bound.map_or(row.clone(), |bound| row.bound(bound)));
    }
}
