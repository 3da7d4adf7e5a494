use std::collections::VecDeque;

use slotmap::Key;

use super::sample::Sample;
use super::{CHANGE, Quartiles};
use crate::batch::WorkerKey;

/// Number of runs that are kept. The median of these moves little while a fifth of them are odd.
const CAPACITY: usize = 16;

/// Number of runs of one worker that are kept: a slow worker alone does not move the median, once
/// there are others.
const CAPACITY_PER_WORKER: usize = 4;

/// Number of latest runs which, if all of them differ in one direction, show that the tasks of the
/// image have changed.
const CHANGED_RUNS: usize = 4;

/// The latest runs of an image.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    samples: VecDeque<Sample>,
}

impl Window {
    /// Creates a window from what an earlier leader learned from a number of runs.
    pub(super) fn restored(duration: Quartiles, ratio: Quartiles, runs: u32) -> Self {
        let worker = WorkerKey::null();
        let sample = |duration, ratio| Sample {
            duration,
            ratio,
            worker,
        };
        let samples = [
            sample(duration.middle, ratio.middle),
            sample(duration.low, ratio.low),
            sample(duration.high, ratio.high),
            sample(duration.middle, ratio.middle),
        ];
        let count = runs.min(CHANGED_RUNS as u32) as usize;
        Self {
            samples: samples.into_iter().take(count).collect(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.samples.len()
    }

    /// Returns the quartiles of the durations.
    pub(super) fn durations(&self) -> Quartiles {
        Quartiles::of(&mut self.samples.iter().map(|s| s.duration).collect::<Vec<_>>())
    }

    /// Returns the quartiles of the ratios to the declared durations.
    pub(super) fn ratios(&self) -> Quartiles {
        Quartiles::of(&mut self.samples.iter().map(|s| s.ratio).collect::<Vec<_>>())
    }

    /// Adds a run. `value` selects the number by which runs of the image resemble each other.
    /// Returns whether earlier runs were dropped because the tasks have changed.
    pub(super) fn add(&mut self, sample: Sample, value: impl Fn(&Sample) -> f32) -> bool {
        let is_same_worker = |other: &Sample| other.worker == sample.worker;
        let from_worker = self.samples.iter().filter(|s| is_same_worker(s)).count();
        if from_worker >= CAPACITY_PER_WORKER
            && let Some(oldest) = self.samples.iter().position(is_same_worker)
        {
            self.samples.remove(oldest);
        } else if self.samples.len() >= CAPACITY {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        let changed = self.has_changed(value);
        if changed {
            self.samples.drain(..self.samples.len() - CHANGED_RUNS);
        }
        changed
    }

    /// Returns whether the latest runs all differ in one direction from the earlier ones. Runs of a
    /// single worker do not show it while others have runs as well: the worker may be slow.
    fn has_changed(&self, value: impl Fn(&Sample) -> f32) -> bool {
        let Some(earlier) = self.samples.len().checked_sub(CHANGED_RUNS) else {
            return false;
        };
        if earlier == 0 {
            return false;
        }
        let values: Vec<f32> = self.samples.iter().map(value).collect();
        let (before, latest) = values.split_at(earlier);
        let before = Quartiles::of(&mut before.to_vec());
        let allowance = CHANGE.max(before.spread());
        let above = latest.iter().all(|v| *v > before.middle + allowance);
        let below = latest.iter().all(|v| *v < before.middle - allowance);
        (above || below) && self.latest_have_two_workers(earlier)
    }

    fn latest_have_two_workers(&self, earlier: usize) -> bool {
        let mut latest = self.samples.iter().skip(earlier);
        let Some(first) = latest.next() else {
            return false;
        };
        latest.any(|sample| sample.worker != first.worker)
    }
}
