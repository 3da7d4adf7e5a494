use std::time::Duration;

use super::{KindId, Size};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::WorkspaceId;

/// Weight of observations from which the learned size replaces the declared one. A new observation
/// has weight 1.
const MIN_WEIGHT: f64 = 3.0;

/// Largest factor by which a declared size may be too high or too low. Learned sizes are clamped
/// to this range.
const MAX_ERROR_FACTOR: u64 = 10;

/// Time after which the weight of an observation has halved.
const HALF_LIFE: Duration = Duration::from_secs(600);

/// Age of a run below which its reported usage is ignored, because tasks are still loading their
/// data.
const WARM_UP: Duration = Duration::from_secs(2);

/// Sizes learned from reported usage, for each workspace and kind of job.
#[derive(Debug)]
pub struct Sizing {
    margin_percent: u64,
    memory_margin_percent: u64,
    kinds: Map<(WorkspaceId, KindId), Usage>,
}

/// Decaying mean and mean absolute deviation of processors, in thousandths, and memory, in MiB.
#[derive(Clone, Copy, Debug)]
struct Usage {
    mean: [f64; 2],
    deviation: [f64; 2],
    weight: f64,
    last: Instant,
}

impl Sizing {
    /// Creates a `Sizing` without observations. The margins are added to learned processors and
    /// memory.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::jobs::{KindId, Size, Sizing};
    ///
    /// let mut sizing = Sizing::new(1, 10);
    /// let (workspace, kind, declared) = (WorkspaceId(0), KindId(0), Size::new(4_000, 4_000, 1));
    /// assert_eq!(sizing.estimate(workspace, kind, declared), declared);
    /// for _ in 0..3 {
    ///     let used = Size::new(1_000, 500, 1);
    ///     sizing.observe(workspace, kind, used, Duration::from_secs(5), Instant::default());
    /// }
    /// assert_eq!(sizing.estimate(workspace, kind, declared), Size::new(1_010, 550, 1));
    /// ```
    pub fn new(margin_percent: u64, memory_margin_percent: u64) -> Self {
        Self {
            margin_percent,
            memory_margin_percent,
            kinds: Map::default(),
        }
    }

    /// Records the usage of a run, measured when the run was `age` old.
    pub fn observe(
        &mut self,
        workspace: WorkspaceId,
        kind: KindId,
        used: Size,
        age: Duration,
        now: Instant,
    ) {
        if age < WARM_UP {
            return;
        }
        let sample = [used.processors as f64, used.memory as f64];
        let usage = self.kinds.entry((workspace, kind)).or_insert(Usage {
            mean: sample,
            deviation: [0.0; 2],
            weight: 0.0,
            last: now,
        });
        let half_lives = now.since(usage.last).as_secs_f64() / HALF_LIFE.as_secs_f64();
        // The cap lets the mean follow a change of behaviour within about 50 reports.
        usage.weight = (usage.weight * 0.5_f64.powf(half_lives) + 1.0).min(50.0);
        usage.last = now;
        let rate = 1.0 / usage.weight;
        for (i, value) in sample.into_iter().enumerate() {
            let error = value - usage.mean[i];
            usage.mean[i] += rate * error;
            usage.deviation[i] += rate * (error.abs() - usage.deviation[i]);
        }
    }

    /// Returns whether enough usage was observed for the learned size to be used.
    pub fn has_learned(&self, workspace: WorkspaceId, kind: KindId) -> bool {
        self.kinds
            .get(&(workspace, kind))
            .is_some_and(|u| u.weight >= MIN_WEIGHT)
    }

    /// Returns the size to reserve for a job: learned if enough usage was observed, else declared.
    pub fn estimate(&self, workspace: WorkspaceId, kind: KindId, declared: Size) -> Size {
        let Some(usage) = self
            .kinds
            .get(&(workspace, kind))
            .filter(|u| u.weight >= MIN_WEIGHT)
        else {
            return declared;
        };
        let padded = |n: f64, percent: u64| (n * (100 + percent) as f64 / 100.0).round() as u64;
        let memory = usage.mean[1] + 2.0 * usage.deviation[1];
        let clamped = |n: u64, declared: u64| {
            n.clamp(
                (declared / MAX_ERROR_FACTOR).max(1),
                (declared * MAX_ERROR_FACTOR).max(1),
            )
        };
        Size::new(
            clamped(
                padded(usage.mean[0], self.margin_percent),
                declared.processors,
            ),
            clamped(padded(memory, self.memory_margin_percent), declared.memory),
            declared.accelerators,
        )
    }

    /// Returns the memory used in bytes.
    pub fn footprint(&self) -> usize {
        self.kinds.capacity() * (size_of::<Usage>() + 9)
    }
}
