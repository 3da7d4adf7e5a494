use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::pools::Reserve;

/// Results of the simulation of one fleet.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of the fleet.
    pub shape: Arc<str>,
    /// Instances of the fleet.
    pub instances: usize,
    /// Pools of the fleet.
    pub pools: usize,
    /// Moves over 180 days of size changes and failures.
    pub moves: u32,
    /// Least number of moves that reaches the same sizes if nothing fails.
    pub moves_minimum: u32,
    /// Moves of the baseline.
    pub moves_naive: u32,
    /// Moves that the budgets had not allowed by the end of a day, summed over the days.
    pub moves_undone: u32,
    /// The same sum for the baseline.
    pub moves_undone_naive: u32,
    /// Time until every instance has been maintained once.
    pub rollout: Duration,
    /// Lower bound of that time under the budgets and windows.
    pub rollout_bound: Duration,
    /// Largest ratio of the roll-out time of a pool to its own lower bound.
    pub rollout_worst_ratio: f64,
    /// Roll-out time of the baseline.
    pub rollout_naive: Duration,
    /// Number of steps after which a pool had more instances unavailable than its budget allows.
    pub budget_violations: u32,
    /// Idle instances that cover the next failure, with a shared buffer and with one per pool.
    pub reserve: Reserve,
    /// Mean time for a plan to choose a wave.
    pub wave_decision: Duration,
    /// Longest time for a plan to choose a wave.
    pub wave_decision_longest: Duration,
    /// Mean time to plan all moves of the fleet.
    pub move_decision: Duration,
    /// Bytes that the state of one manager has allocated.
    pub state_bytes: usize,
}

impl Report {
    /// Returns the ratio of the moves to their least number.
    pub fn moves_ratio(&self) -> f64 {
        f64::from(self.moves) / f64::from(self.moves_minimum.max(1))
    }

    /// Returns the ratio of the roll-out time to its lower bound.
    pub fn rollout_ratio(&self) -> f64 {
        self.rollout.as_secs_f64() / self.rollout_bound.as_secs_f64().max(1.0)
    }

    /// Returns the share of instances kept idle by one buffer that all pools share.
    pub fn buffer_share(&self) -> f64 {
        f64::from(self.reserve.shared) / f64::from(self.reserve.total.max(1))
    }

    /// Returns the share of instances kept idle by a separate buffer for each pool.
    pub fn buffer_share_naive(&self) -> f64 {
        f64::from(self.reserve.own) / f64::from(self.reserve.total.max(1))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hours = |duration: Duration| duration.as_secs_f64() / 3600.0;
        writeln!(
            f,
            "shape={} instances={} pools={} budget-violations={}",
            self.shape, self.instances, self.pools, self.budget_violations
        )?;
        writeln!(
            f,
            "  moves={} minimum={} ratio={:.3} undone={} naive={} naive-undone={}",
            self.moves,
            self.moves_minimum,
            self.moves_ratio(),
            self.moves_undone,
            self.moves_naive,
            self.moves_undone_naive
        )?;
        writeln!(
            f,
            "  rollout-h={:.2} bound-h={:.2} ratio={:.3} worst-pool-ratio={:.3} naive-h={:.2}",
            hours(self.rollout),
            hours(self.rollout_bound),
            self.rollout_ratio(),
            self.rollout_worst_ratio,
            hours(self.rollout_naive)
        )?;
        writeln!(
            f,
            "  buffer={} ({:.1}%) naive={} ({:.1}%) held={} of {}",
            self.reserve.shared,
            100.0 * self.buffer_share(),
            self.reserve.own,
            100.0 * self.buffer_share_naive(),
            self.reserve.held,
            self.reserve.total
        )?;
        write!(
            f,
            "  wave-decision-us={:.1} longest={:.1} move-decision-us={:.1} state-kib={}",
            self.wave_decision.as_secs_f64() * 1e6,
            self.wave_decision_longest.as_secs_f64() * 1e6,
            self.move_decision.as_secs_f64() * 1e6,
            self.state_bytes / 1024
        )
    }
}
