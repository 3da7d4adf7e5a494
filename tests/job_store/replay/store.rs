use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use coriandernotch::clock::Instant;

use super::load::{SLOW_FROM, SLOW_TO, start};

/// Time that a partition takes for one transaction: 150 a second.
const OCCUPANCY: Duration = Duration::from_nanos(1_000_000_000 / 150);

/// Time to the answer of a transaction that need not wait.
const LATENCY: Duration = Duration::from_millis(8);

/// Time to the answer of a refusal.
const REFUSAL: Duration = Duration::from_millis(4);

/// Waiting time beyond which a partition refuses transactions.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Number of write calls a second that the store takes.
const MAX_WRITES: usize = 1_200;

/// Factor of all times while the store is slow.
const SLOWNESS: u32 = 52;

/// What a call comes to.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Applied,
    /// Nothing was done, since these jobs are stored.
    Conflict(Vec<usize>),
    Refused,
}

/// How the store behaves in the middle of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trouble {
    None,
    Slow,
    /// Transactions take effect only after this time, without an answer.
    Silent,
}

/// The store, which carries out the transactions of a partition one after another.
#[derive(Debug)]
pub(super) struct Store {
    pub(super) trouble: Trouble,
    /// When each partition has carried out what waits.
    free_at: BTreeMap<u32, Instant>,
    writes: VecDeque<Instant>,
    /// When each job is stored.
    pub(super) stored: BTreeMap<usize, Instant>,
}

impl Store {
    pub(super) fn new() -> Self {
        Self {
            trouble: Trouble::Slow,
            free_at: BTreeMap::new(),
            writes: VecDeque::new(),
            stored: BTreeMap::new(),
        }
    }

    fn is_troubled(&self, now: Instant) -> bool {
        now >= start() + SLOW_FROM && now < start() + SLOW_TO
    }

    /// Carries out a transaction that stores jobs. Returns what it comes to and when the answer
    /// arrives, if one does.
    pub(super) fn call(
        &mut self,
        partition: u32,
        jobs: &[usize],
        now: Instant,
    ) -> (Outcome, Option<Instant>) {
        while self
            .writes
            .front()
            .is_some_and(|at| now.since(*at) >= Duration::from_secs(1))
        {
            self.writes.pop_front();
        }
        let trouble = if self.is_troubled(now) {
            self.trouble
        } else {
            Trouble::None
        };
        let free_at = self.free_at.entry(partition).or_insert(now);
        if self.writes.len() >= MAX_WRITES || free_at.since(now) > MAX_WAIT {
            return (Outcome::Refused, Some(now + REFUSAL));
        }
        self.writes.push_back(now);
        let (occupancy, latency) = match trouble {
            Trouble::None => (OCCUPANCY, LATENCY),
            Trouble::Slow => (LATENCY * SLOWNESS, LATENCY * SLOWNESS),
            Trouble::Silent => (OCCUPANCY, Duration::from_secs(5)),
        };
        let begun = now.max(*free_at);
        *free_at = begun + occupancy;
        let done = begun + latency;
        let found = jobs.iter().filter(|job| self.stored.contains_key(job));
        let found: Vec<usize> = found.copied().collect();
        let outcome = if found.is_empty() {
            self.stored.extend(jobs.iter().map(|job| (*job, done)));
            Outcome::Applied
        } else {
            Outcome::Conflict(found)
        };
        (outcome, (trouble != Trouble::Silent).then_some(done))
    }
}
