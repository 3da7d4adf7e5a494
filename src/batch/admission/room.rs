use std::collections::VecDeque;
use std::time::Duration;

use crate::batch::JobMemory;
use crate::clock::Instant;

/// Time for which a job that was let in is counted here, as the leader may not know it yet.
const COUNTED_FOR: Duration = Duration::from_secs(3);

/// One part in so many of the memory for jobs is left to small ones.
const RESERVE_PARTS: u64 = 4;

/// Memory that the jobs in progress may take at the leader, as far as one instance knows.
///
/// ```
/// use coriandernotch::batch::JobMemory;
/// use coriandernotch::batch::admission::Room;
/// use coriandernotch::clock::Instant;
///
/// let (mut room, now) = (Room::new(100 << 10), Instant::default());
/// let (job, known) = (JobMemory::of(60 << 10), JobMemory::default());
/// assert!(room.take(job, known, now));
/// assert!(!room.take(job, known, now));
/// ```
#[derive(Debug)]
pub struct Room {
    /// Bytes of all jobs.
    limit: u64,
    /// Jobs that were let in lately, and their sum.
    recent: VecDeque<(Instant, JobMemory)>,
    recent_sum: JobMemory,
}

impl Room {
    /// Creates room for jobs that take up to `limit` bytes together.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit as u64,
            recent: VecDeque::new(),
            recent_sum: JobMemory::default(),
        }
    }

    /// Lets a job in if it fits beside the `known` ones of the leader. The only large one always
    /// does, and leaves the reserve to small ones.
    pub fn take(&mut self, job: JobMemory, known: JobMemory, now: Instant) -> bool {
        self.forget_old(now);
        let mut sum = known;
        sum.add(self.recent_sum);
        let is_first = sum.large == 0;
        sum.add(job);
        let large_limit = self.limit - self.limit / RESERVE_PARTS;
        let fits = match job.large > 0 {
            true => is_first || sum.small.saturating_add(sum.large) <= large_limit,
            false => sum.small.saturating_add(sum.large.min(large_limit)) <= self.limit,
        };
        if fits {
            self.recent.push_back((now, job));
            self.recent_sum.add(job);
        }
        fits
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some(&(at, job)) = self.recent.front()
            && now.since(at) >= COUNTED_FOR
        {
            self.recent.pop_front();
            self.recent_sum.subtract(job);
        }
    }
}
