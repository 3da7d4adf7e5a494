use std::sync::Arc;

use super::{Ending, Run};
use crate::clock::Instant;
use crate::collections::Map;

/// Runs kept in full; beyond it only counts go on, which bounds memory in long load runs.
const MAX_RUNS: usize = 1 << 20;

/// Records of a target.
#[derive(Default)]
pub(super) struct Ledger {
    pub(super) runs: Vec<Run>,
    counts: Map<Arc<str>, u32>,
    pub(super) total: u64,
    pub(super) refused: u64,
    pub(super) running: usize,
    pub(super) peak: usize,
    /// Requests that ran when the target was turned off.
    pub(super) cut: usize,
}

impl Ledger {
    /// Records the start of a run and returns its place.
    pub(super) fn begin(&mut self, id: &str, workspace: &str, now: Instant) -> usize {
        self.total += 1;
        self.running += 1;
        self.peak = self.peak.max(self.running);
        if self.runs.len() == MAX_RUNS {
            return MAX_RUNS;
        }
        let id: Arc<str> = id.into();
        *self.counts.entry(id.clone()).or_default() += 1;
        self.runs.push(Run {
            id,
            workspace: workspace.into(),
            start: now,
            end: None,
            ending: Ending::Running,
        });
        self.runs.len() - 1
    }

    pub(super) fn end(&mut self, place: usize, ending: Ending, now: Instant) {
        self.running -= 1;
        if let Some(run) = self.runs.get_mut(place) {
            run.end = Some(now);
            run.ending = ending;
        }
    }

    pub(super) fn count(&self, id: &str) -> u32 {
        self.counts.get(id).copied().unwrap_or(0)
    }

    pub(super) fn repeated(&self) -> Vec<Arc<str>> {
        self.counts
            .iter()
            .filter(|(id, n)| **n > 1 && !id.is_empty())
            .map(|(id, _)| id.clone())
            .collect()
    }
}
