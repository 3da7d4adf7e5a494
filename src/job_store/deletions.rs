use std::sync::Arc;
use std::time::Duration;

use super::{Partition, Place};
use crate::clock::Instant;
use crate::collections::Map;

/// Number of ended jobs of a partition whose rows are deleted at once. Each takes a condition and two
/// deletions, and a transaction has at most 100 of these.
const MAX_BATCH: usize = 30;

/// Number of ended jobs of a partition from which on their rows are deleted. One call for this many
/// jobs adds less than a tenth of a call to each.
const FULL_BATCH: usize = 20;

/// Time after which the rows of fewer jobs are deleted as well, as a multiple of the retention time.
const MAX_DELAY_RETENTIONS: u32 = 10;

/// Ended jobs whose rows are to be deleted.
///
/// The rows of a job in the table of jobs are deleted before its progress: a job without progress
/// would look like a new one.
#[derive(Debug)]
pub struct Deletions {
    retention: Duration,
    max_delay: Duration,
    places: Map<Arc<str>, Place>,
    /// Jobs with all rows, and when each was added.
    waiting: Map<Partition, Vec<(Instant, Arc<str>)>>,
    /// Jobs of which only the progress is stored, and the version at which the other rows were
    /// deleted.
    cleared: Vec<(Arc<str>, u64)>,
}

impl Deletions {
    /// Creates an empty list for jobs whose state is kept for a time after their end.
    ///
    /// ```
    /// let retention = std::time::Duration::from_secs(120);
    /// assert!(!coriandernotch::job_store::Deletions::new(retention).place("a").is_beside_progress);
    /// ```
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            max_delay: retention * MAX_DELAY_RETENTIONS,
            places: Map::default(),
            waiting: Map::default(),
            cleared: Vec::new(),
        }
    }

    /// Returns whether progress that ended at a time belongs to an earlier job of the same id than one
    /// that arrived at another time, both in milliseconds since 1970. The rows of the earlier one can
    /// only be deleted after the retention time, half of which is left for differences of clocks.
    ///
    /// ```
    /// let retention = std::time::Duration::from_secs(120);
    /// let deletions = coriandernotch::job_store::Deletions::new(retention);
    /// assert!(deletions.is_of_earlier_job(1_000, 121_000));
    /// assert!(!deletions.is_of_earlier_job(1_000, 2_000));
    /// ```
    pub fn is_of_earlier_job(&self, ended_ms: u64, arrived_ms: u64) -> bool {
        let margin = u64::try_from(self.retention.as_millis() / 2).unwrap_or(u64::MAX);
        ended_ms > 0 && arrived_ms > ended_ms.saturating_add(margin)
    }

    /// Returns whether there is progress to delete.
    ///
    /// ```
    /// let retention = std::time::Duration::from_secs(120);
    /// assert!(!coriandernotch::job_store::Deletions::new(retention).has_cleared());
    /// ```
    pub fn has_cleared(&self) -> bool {
        !self.cleared.is_empty()
    }

    /// Records the row of a job that was read from a partition.
    pub fn record_row(&mut self, job: &Arc<str>, partition: &str, version: u64) {
        let place = self.places.entry(job.clone()).or_default();
        if Partition::of_job(job).name() == partition {
            place.version = version;
        } else {
            place.is_beside_progress = true;
        }
    }

    /// Records the cancellation of a job that was read from a partition.
    pub fn record_cancellation(&mut self, job: &Arc<str>, partition: &str) {
        if Partition::of_job(job).name() != partition {
            self.places
                .entry(job.clone())
                .or_default()
                .is_beside_progress = true;
        }
    }

    /// Returns where the rows of a job are.
    pub fn place(&self, job: &str) -> Place {
        self.places.get(job).copied().unwrap_or_default()
    }

    /// Adds ended jobs whose rows are no longer needed.
    pub fn add(&mut self, jobs: Vec<Arc<str>>, now: Instant) {
        for job in jobs {
            let partition = Partition::of_job(&job);
            self.waiting.entry(partition).or_default().push((now, job));
        }
    }

    /// Takes the jobs of a partition that has enough of them, or one that has waited for long.
    pub fn take_batch(&mut self, now: Instant) -> Option<(Partition, Vec<Arc<str>>)> {
        let is_due = |jobs: &[(Instant, Arc<str>)]| {
            let oldest = jobs.first().map(|(added, _)| now.since(*added));
            jobs.len() >= FULL_BATCH || oldest.is_some_and(|age| age >= self.max_delay)
        };
        let (partition, jobs) = self.waiting.iter_mut().find(|(_, jobs)| is_due(jobs))?;
        let partition = *partition;
        let batch = jobs.drain(..jobs.len().min(MAX_BATCH));
        let batch = batch.map(|(_, job)| job).collect();
        if jobs.is_empty() {
            self.waiting.remove(&partition);
        }
        Some((partition, batch))
    }

    /// Records that all rows of jobs but their progress were deleted at a version of the store.
    pub fn record_cleared(&mut self, jobs: Vec<Arc<str>>, version: u64) {
        self.cleared
            .extend(jobs.into_iter().map(|job| (job, version)));
    }

    /// Takes up to `limit` jobs whose progress is in a partition, each with the version at which its
    /// other rows were deleted.
    pub fn take_cleared(&mut self, partition: Partition, limit: usize) -> Vec<(Arc<str>, u64)> {
        let is_here = |(job, _): &mut (Arc<str>, u64)| Partition::of_progress(job) == partition;
        self.cleared.extract_if(.., is_here).take(limit).collect()
    }

    /// Forgets where the rows of a job were.
    pub fn forget(&mut self, job: &str) {
        self.places.remove(job);
    }
}
