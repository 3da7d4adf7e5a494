use std::time::Duration;

use super::{JobId, Standing, WorkerId};
use crate::clock::Instant;
use crate::collections::Map;

/// Number of distinct jobs that must fail on a worker without a success in between before it is
/// put on probation.
const PROBATION_FAILURES: usize = 3;

/// Number of jobs that must fail on a worker and succeed elsewhere before it is quarantined.
const QUARANTINE_FAILURES: u32 = 2;

/// Number of successes on probation after which a worker is in good standing again.
const RECOVERY_SUCCESSES: u32 = 3;

/// Length of the first quarantine of a worker; doubles with each further one up to
/// `MAX_QUARANTINE`.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(60);

/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Pause after a failure on a worker on probation; doubles with each further job that fails in a
/// row. Without it, a worker that fails jobs within milliseconds would take one job per scheduling
/// decision.
const INITIAL_PROBATION_PAUSE: Duration = Duration::from_secs(2);

/// Maximum number of workers kept for a job that fails, until the job ends, and of jobs kept for a
/// worker that fails them; bounds memory.
const MAX_KEPT_FAILURES: usize = 8;

/// Distinguishes faulty workers from faulty jobs: a job that failed on one worker and succeeded on
/// another counts against the first worker.
#[derive(Debug, Default)]
pub struct Quarantine {
    workers: Map<WorkerId, History>,
    /// Workers on which each job failed that has not succeeded yet.
    failures: Map<JobId, Vec<WorkerId>>,
}

/// Failure history of one worker.
#[derive(Debug, Default)]
struct History {
    /// Distinct jobs that failed since the last success.
    failed_since_success: Vec<JobId>,
    /// Number of jobs that failed here and then succeeded elsewhere, since the last success here.
    worker_faults: u32,
    /// Successes since the last failure.
    successes: u32,
    quarantine_count: u32,
    standing: Standing,
    /// End of the quarantine or pause; the default value if there is none.
    blocked_until: Instant,
}

impl Quarantine {
    /// Records that a job succeeded on a worker. Returns the workers whose standing changes.
    pub fn record_success(
        &mut self,
        job: JobId,
        worker: WorkerId,
        now: Instant,
    ) -> Vec<(WorkerId, Standing)> {
        let mut changes = Vec::new();
        if let Some(history) = self.workers.get_mut(&worker) {
            history.failed_since_success.clear();
            history.worker_faults = 0;
            history.successes += 1;
            if history.standing == Standing::Probation && history.successes >= RECOVERY_SUCCESSES {
                history.standing = Standing::Good;
                changes.push((worker, Standing::Good));
            }
        }
        for failed_worker in self.failures.remove(&job).unwrap_or_default() {
            if failed_worker == worker {
                continue;
            }
            let history = self.workers.entry(failed_worker).or_default();
            history.worker_faults += 1;
            if history.worker_faults >= QUARANTINE_FAILURES
                && history.standing != Standing::Quarantined
            {
                changes.push((failed_worker, history.quarantine(now)));
            }
        }
        changes
    }

    /// Records that a job failed on a worker. Returns the standing to apply to the worker if it
    /// changes; during a pause on probation that is [`Standing::Quarantined`].
    ///
    /// At most a tenth of the `worker_count` workers, but at least one, is put on probation for
    /// failures alone: when jobs fail everywhere, the workers are not the cause.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::jobs::{JobId, Quarantine, Standing, WorkerId};
    ///
    /// let mut quarantine = Quarantine::default();
    /// let now = Instant::default();
    /// let job = |n: u64| JobId::from_number(0x1_0000_0000 + n);
    /// for n in 1..=2 {
    ///     assert_eq!(quarantine.record_failure(job(n), WorkerId(0), 20, now), None);
    ///     quarantine.record_success(job(n), WorkerId(1), now);
    /// }
    /// assert_eq!(quarantine.standing(WorkerId(0)), Standing::Quarantined);
    /// ```
    pub fn record_failure(
        &mut self,
        job: JobId,
        worker: WorkerId,
        worker_count: usize,
        now: Instant,
    ) -> Option<Standing> {
        let on_probation = self.probation_count();
        let workers = self.failures.entry(job).or_default();
        if !workers.contains(&worker) && workers.len() < MAX_KEPT_FAILURES {
            workers.push(worker);
        }
        let history = self.workers.entry(worker).or_default();
        history.successes = 0;
        if !history.failed_since_success.contains(&job)
            && history.failed_since_success.len() < MAX_KEPT_FAILURES
        {
            history.failed_since_success.push(job);
        }
        match history.standing {
            Standing::Good
                if history.failed_since_success.len() >= PROBATION_FAILURES
                    && on_probation < (worker_count / 10).max(1) =>
            {
                history.standing = Standing::Probation;
                history.blocked_until = now + INITIAL_PROBATION_PAUSE;
                Some(Standing::Quarantined)
            }
            // A worker that fails on probation after a quarantine has not recovered.
            Standing::Probation if history.quarantine_count > 0 => Some(history.quarantine(now)),
            Standing::Probation => {
                let doublings = history
                    .failed_since_success
                    .len()
                    .saturating_sub(PROBATION_FAILURES);
                history.blocked_until = now
                    + INITIAL_PROBATION_PAUSE * 2_u32.pow(u32::try_from(doublings).unwrap_or(0));
                Some(Standing::Quarantined)
            }
            _ => None,
        }
    }

    /// Returns the number of workers on probation.
    fn probation_count(&self) -> usize {
        let histories = self.workers.values();
        histories
            .filter(|h| h.standing == Standing::Probation)
            .count()
    }

    /// Forgets a job that ended without success.
    pub fn forget(&mut self, job: JobId) {
        self.failures.remove(&job);
    }

    /// Returns whether a worker is credible, so that failures on it count against the job.
    pub fn is_credible(&self, worker: WorkerId) -> bool {
        self.workers.get(&worker).is_none_or(|h| {
            h.standing == Standing::Good
                && h.failed_since_success.len() < PROBATION_FAILURES
                && h.worker_faults < QUARANTINE_FAILURES
        })
    }

    /// Returns the standing of a worker according to its failures and successes alone.
    pub fn standing(&self, worker: WorkerId) -> Standing {
        self.workers
            .get(&worker)
            .map_or(Standing::Good, |h| h.standing)
    }

    /// Ends each quarantine or pause whose time is over. Returns these workers; they are now on
    /// probation and may get one job.
    pub fn end_due(&mut self, now: Instant) -> Vec<WorkerId> {
        let mut due = Vec::new();
        for (id, history) in &mut self.workers {
            if history.blocked_until != Instant::default() && now >= history.blocked_until {
                history.blocked_until = Instant::default();
                history.standing = Standing::Probation;
                history.worker_faults = 0;
                due.push(*id);
            }
        }
        due.sort_unstable();
        due
    }

    /// Returns the memory used in bytes.
    pub fn footprint(&self) -> usize {
        self.workers.capacity() * (size_of::<History>() + 64) + self.failures.capacity() * 64
    }
}

impl History {
    /// Starts a quarantine, twice as long as the one before up to `MAX_QUARANTINE`.
    fn quarantine(&mut self, now: Instant) -> Standing {
        let length = INITIAL_QUARANTINE * 2_u32.pow(self.quarantine_count.min(6));
        self.standing = Standing::Quarantined;
        self.blocked_until = now + length.min(MAX_QUARANTINE);
        self.quarantine_count += 1;
        self.successes = 0;
        Standing::Quarantined
    }
}
