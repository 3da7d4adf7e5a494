use std::time::Duration;

use super::{JobId, Standing, WorkerId};
use crate::clock::Instant;
use crate::collections::Map;

/// Distinct jobs that fail in a row before a worker gets one job at a time.
const SUSPICIOUS: usize = 3;

/// Distinct jobs that failed on a worker and succeeded elsewhere before it is quarantined.
const PROVEN: u32 = 2;

/// Successes in probation after which a worker is trusted again.
const RECOVERED: u32 = 3;

/// First time in quarantine; doubles with each repetition up to `LONGEST`.
const FIRST: Duration = Duration::from_secs(60);
const LONGEST: Duration = Duration::from_secs(3_600);

/// First pause between jobs on a worker in probation; doubles with each failure in a row. A worker that fails in milliseconds would otherwise
/// take a job per decision.
const PAUSE: Duration = Duration::from_secs(2);

/// Failures of a job remembered until it ends; bounds memory per job.
const REMEMBERED: usize = 8;

/// Tells bad workers from bad jobs by what succeeded elsewhere.
#[derive(Debug, Default)]
pub struct Quarantine {
    workers: Map<WorkerId, Record>,
    /// Workers on which a job that has not succeeded yet has failed.
    failures: Map<JobId, Vec<WorkerId>>,
}

#[derive(Debug, Default)]
struct Record {
    /// Distinct jobs that failed since the last success.
    streak: Vec<JobId>,
    /// Jobs that failed here and succeeded elsewhere since the last success here.
    proofs: u32,
    successes: u32,
    repetitions: u32,
    standing: Standing,
    until: Instant,
}

impl Quarantine {
    /// Records that a job succeeded on a worker. Returns workers whose standing changes.
    pub fn succeeded(
        &mut self,
        job: JobId,
        worker: WorkerId,
        now: Instant,
    ) -> Vec<(WorkerId, Standing)> {
        let mut changes = Vec::new();
        if let Some(record) = self.workers.get_mut(&worker) {
            record.streak.clear();
            record.proofs = 0;
            record.successes += 1;
            if record.standing == Standing::Probation && record.successes >= RECOVERED {
                record.standing = Standing::Good;
                changes.push((worker, Standing::Good));
            }
        }
        for blamed in self.failures.remove(&job).unwrap_or_default() {
            if blamed == worker {
                continue;
            }
            let record = self.workers.entry(blamed).or_default();
            record.proofs += 1;
            if record.proofs >= PROVEN && record.standing != Standing::Quarantined {
                changes.push((blamed, record.quarantine(now)));
            }
        }
        changes
    }

    /// Records that a job failed on a worker. Returns the new standing of the worker if it changes.
    ///
    /// At most a tenth of the `fleet` is held back on suspicion alone: when jobs fail everywhere,
    /// the workers are not the cause.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::jobs::{JobId, Quarantine, Standing, WorkerId};
    ///
    /// let mut quarantine = Quarantine::default();
    /// let now = Instant::default();
    /// let job = |n: u64| JobId::from_number(0x1_0000_0000 + n);
    /// for n in 1..=2 {
    ///     assert_eq!(quarantine.failed(job(n), WorkerId(0), 20, now), None);
    ///     quarantine.succeeded(job(n), WorkerId(1), now);
    /// }
    /// assert_eq!(quarantine.standing(WorkerId(0)), Standing::Quarantined);
    /// ```
    pub fn failed(
        &mut self,
        job: JobId,
        worker: WorkerId,
        fleet: usize,
        now: Instant,
    ) -> Option<Standing> {
        let suspects = self.suspects();
        let workers = self.failures.entry(job).or_default();
        if !workers.contains(&worker) && workers.len() < REMEMBERED {
            workers.push(worker);
        }
        let record = self.workers.entry(worker).or_default();
        record.successes = 0;
        if !record.streak.contains(&job) && record.streak.len() < REMEMBERED {
            record.streak.push(job);
        }
        match record.standing {
            Standing::Good
                if record.streak.len() >= SUSPICIOUS && suspects < (fleet / 10).max(1) =>
            {
                record.standing = Standing::Probation;
                record.until = now + PAUSE;
                Some(Standing::Quarantined)
            }
            // A worker that was quarantined before and fails on its return has not recovered.
            Standing::Probation if record.repetitions > 0 => Some(record.quarantine(now)),
            Standing::Probation => {
                let doublings = record.streak.len().saturating_sub(SUSPICIOUS);
                record.until = now + PAUSE * 2_u32.pow(u32::try_from(doublings).unwrap_or(0));
                Some(Standing::Quarantined)
            }
            _ => None,
        }
    }

    fn suspects(&self) -> usize {
        let records = self.workers.values();
        records
            .filter(|r| r.standing == Standing::Probation)
            .count()
    }

    /// Forgets a job that ended without success.
    pub fn forget(&mut self, job: JobId) {
        self.failures.remove(&job);
    }

    /// Returns whether failures on a worker may count against a job.
    pub fn is_credible(&self, worker: WorkerId) -> bool {
        self.workers.get(&worker).is_none_or(|r| {
            r.standing == Standing::Good && r.streak.len() < SUSPICIOUS && r.proofs < PROVEN
        })
    }

    /// Returns the standing of a worker by evidence alone.
    pub fn standing(&self, worker: WorkerId) -> Standing {
        self.workers
            .get(&worker)
            .map_or(Standing::Good, |r| r.standing)
    }

    /// Returns the workers that may get one job again: their time in quarantine or pause is over.
    pub fn due(&mut self, now: Instant) -> Vec<WorkerId> {
        let mut due = Vec::new();
        for (id, record) in &mut self.workers {
            if record.until != Instant::default() && now >= record.until {
                record.until = Instant::default();
                record.standing = Standing::Probation;
                record.proofs = 0;
                due.push(*id);
            }
        }
        due.sort_unstable();
        due
    }

    /// Returns the bytes held.
    pub fn footprint(&self) -> usize {
        self.workers.capacity() * (size_of::<Record>() + 64) + self.failures.capacity() * 64
    }
}

impl Record {
    fn quarantine(&mut self, now: Instant) -> Standing {
        let time = FIRST * 2_u32.pow(self.repetitions.min(6));
        self.standing = Standing::Quarantined;
        self.until = now + time.min(LONGEST);
        self.repetitions += 1;
        self.successes = 0;
        Standing::Quarantined
    }
}
