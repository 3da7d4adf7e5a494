use std::time::Duration;

use super::{Bound, Report, Row, Shape};
use crate::plans::simulation::{Shape as Fleet, run};

/// Name of the policy of moves, plans and buffers in the rows.
const POLICY: &str = "planner";

/// Name of the baseline in the rows.
const NAIVE: &str = "naive";

impl Report {
    /// Adds the figures of moves, roll-out and buffers over the same fleet, next to their baseline.
    ///
    /// ```
    /// use coriandernotch::measure::{Report, Shape};
    ///
    /// let mut report = Report::new(Shape::Huallaga, 1);
    /// report.add_upkeep();
    /// assert!(report.value("moves", "planner") < report.value("moves", "naive"));
    /// ```
    pub fn add_upkeep(&mut self) {
        let fleet = match self.shape {
            Shape::Huallaga => Fleet::Huallaga,
            Shape::Rennes => Fleet::Rennes,
            Shape::Target => Fleet::Target,
        };
        let (document, listing) = fleet.build(self.seed);
        let found = run(&self.shape.to_string(), &document, &listing, self.seed);
        let count = |name, policy, value: u32| Row::new(name, policy, f64::from(value), "count");
        let hours = |name, policy, value: Duration| {
            Row::new(name, policy, value.as_secs_f64() / 3_600.0, "h")
        };
        let micros =
            |name, value: Duration| Row::new(name, POLICY, value.as_secs_f64() * 1e6, "us");
        let percent = |name, policy, value: f64| Row::new(name, policy, value * 100.0, "%");
        self.rows.extend([
            count("moves", POLICY, found.moves),
            count("moves", NAIVE, found.moves_naive),
            count("moves, least number", "bound", found.moves_minimum),
            Row::new(
                "moves per move needed",
                POLICY,
                found.moves_ratio(),
                "ratio",
            )
            .bound(Bound::Most(1.1)),
            count("moves left undone", POLICY, found.moves_undone).bound(Bound::Most(0.0)),
            count("moves left undone", NAIVE, found.moves_undone_naive),
            hours("roll-out", POLICY, found.rollout),
            hours("roll-out", NAIVE, found.rollout_naive),
            hours("roll-out, least time", "bound", found.rollout_bound),
            Row::new(
                "roll-out per least time",
                POLICY,
                found.rollout_ratio(),
                "ratio",
            )
            .bound(Bound::Most(1.2)),
            Row::new(
                "same, worst pool",
                POLICY,
                found.rollout_worst_ratio,
                "ratio",
            )
            .bound(Bound::Most(1.2)),
            count(
                "times over an availability budget",
                POLICY,
                found.budget_violations,
            )
            .bound(Bound::Most(0.0)),
            percent("buffer cost, idle instances", POLICY, found.buffer_share()),
            percent(
                "buffer cost, idle instances",
                NAIVE,
                found.buffer_share_naive(),
            ),
            micros("decision of a plan, mean", found.wave_decision),
            micros("decision of a plan, longest", found.wave_decision_longest),
            micros("planning of all moves, mean", found.move_decision),
            Row::new(
                "state of one manager",
                POLICY,
                found.state_bytes as f64 / 1_048_576.0,
                "MiB",
            ),
        ]);
    }
}
