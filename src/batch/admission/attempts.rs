use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::Attempt;
use crate::clock::Instant;

/// Largest number of jobs that are remembered; each takes up to about 200 bytes.
const MAX_JOBS: usize = 4_096;

/// Time for which a job is remembered after its first attempt. Callers have stopped repeating a
/// request by then.
const REMEMBERED_FOR: Duration = Duration::from_secs(120);

/// Jobs that were submitted at one instance of late, some of them several times.
///
/// ```
/// use coriandernotch::batch::admission::Attempts;
/// use coriandernotch::clock::Instant;
///
/// let (mut attempts, now) = (Attempts::default(), Instant::default());
/// attempts.add("a", 500, now);
/// let again = attempts.add("a", 900, now);
/// assert_eq!((again.first_ms, again.count), (500, 2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// The hasher resists crafted collisions: callers choose the names of jobs.
    jobs: HashMap<Arc<str>, Attempt>,
    /// Jobs in the order of their first attempts.
    order: VecDeque<(Instant, Arc<str>)>,
}

impl Attempts {
    /// Adds an attempt at `arrived_ms`, in milliseconds since 1970, and returns what is known of the
    /// job.
    pub fn add(&mut self, job: &str, arrived_ms: u64, now: Instant) -> Attempt {
        self.remove_old(now);
        if let Some(known) = self.jobs.get_mut(job) {
            known.count = known.count.saturating_add(1);
            return *known;
        }
        let key: Arc<str> = job.into();
        let first = Attempt {
            first_ms: arrived_ms,
            count: 1,
            writes: 0,
        };
        self.order.push_back((now, key.clone()));
        self.jobs.insert(key, first);
        first
    }

    /// Counts a job from another time, in milliseconds since 1970, since it can no longer be of use
    /// when counted from its first attempt.
    pub fn restart(&mut self, job: &str, first_ms: u64) {
        if let Some(known) = self.jobs.get_mut(job) {
            known.first_ms = first_ms;
        }
    }

    /// Returns what is known of a job.
    pub fn get(&self, job: &str) -> Option<Attempt> {
        self.jobs.get(job).copied()
    }

    /// Records that an attempt is about to store the job. It counts as stored from then on, unless
    /// [`Self::record_not_stored`] follows.
    pub fn record_write(&mut self, job: &str) {
        if let Some(known) = self.jobs.get_mut(job) {
            known.writes = known.writes.saturating_add(1);
        }
    }

    /// Records that an attempt which was about to store the job certainly did not and will not.
    pub fn record_not_stored(&mut self, job: &str) {
        if let Some(known) = self.jobs.get_mut(job) {
            known.writes = known.writes.saturating_sub(1);
        }
    }

    /// Returns the number of jobs that are remembered.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no job is remembered.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn remove_old(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.since(*at) > REMEMBERED_FOR;
        while self.order.len() >= MAX_JOBS || self.order.front().is_some_and(|(at, _)| is_old(at)) {
            let Some((_, job)) = self.order.pop_front() else {
                return;
            };
            self.jobs.remove(&job);
        }
    }
}
