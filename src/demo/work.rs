use std::time::Duration;

/// What became of the jobs of a run.
#[derive(Clone, Debug, Default)]
pub(super) struct Work {
    pub(super) accepted: usize,
    pub(super) refused: usize,
    pub(super) done: usize,
    pub(super) unfinished: usize,
    /// Times from the answer to the first start of urgent jobs while the store was up, shortest
    /// first.
    pub(super) urgent: Vec<Duration>,
    /// Longest such time of jobs accepted shortly before or during the outage, and their number.
    /// A start needs its row written, so they wait for the store.
    pub(super) delayed: (Duration, usize),
}

impl Work {
    /// Returns the time within which this part of the urgent jobs started.
    pub(super) fn urgent_quantile(&self, part: f64) -> Duration {
        let place = (self.urgent.len() as f64 * part) as usize;
        let last = self.urgent.len().saturating_sub(1);
        self.urgent
            .get(place.min(last))
            .copied()
            .unwrap_or_default()
    }
}
