use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use super::partition_queue::PartitionQueue;
use super::waiting::Waiting;
use super::{Acceptance, Action, Answer, Batch, Class, Partition, SubmissionKey, Window};
use crate::clock::Instant;
use crate::collections::{Map, Set};

/// Maximum number of submissions that wait at an instance; further ones are refused.
const MAX_WAITING: usize = 1_024;

/// Maximum size of the rows of all submissions that wait. The smallest instance has 160 MB of memory.
const MAX_WAITING_BYTES: usize = 16 << 20;

/// Maximum number of jobs in one transaction. Each takes two conditions and a row, and a transaction
/// has at most 100 of these.
const MAX_BATCH_JOBS: usize = 20;

/// Maximum size of the rows in one transaction. The store takes 1 MB, in which they are Base64.
const MAX_BATCH_BYTES: usize = 640 << 10;

/// Time before the deadline of a caller at which it is refused at the latest.
const MARGIN: Duration = Duration::from_millis(50);

/// Bounds of the time for which an answer is awaited. The shorter one leaves time for a second call
/// within the 3 s for which callers wait.
const MIN_TIMEOUT: Duration = Duration::from_millis(1_200);
const MAX_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Duration of a call, as a multiple of the mean, after which it is given up.
const TIMEOUT_FACTOR: u32 = 3;

/// Time for which a transaction without an answer may take effect.
const UNCERTAIN_FOR: Duration = Duration::from_secs(30);

/// Submissions that wait to be stored: decides what is sent when and which ones are refused.
#[derive(Debug)]
pub struct Queue {
    /// Whether jobs are spread over all partitions.
    is_spread: bool,
    submissions: SlotMap<SubmissionKey, Waiting>,
    /// Size of the rows of all submissions.
    bytes: usize,
    partitions: Map<Partition, PartitionQueue>,
    /// Calls of this instance that write to the store.
    pub window: Window,
    /// Ids of the transactions that are in flight.
    in_flight: Set<Arc<str>>,
    /// Ids of transactions without an answer, and until when these may take effect.
    uncertain: Map<Arc<str>, Instant>,
    /// When the instance ends, if it stops.
    ends_at: Option<Instant>,
}

impl Default for Queue {
    fn default() -> Self {
        Self::new(true)
    }
}

impl Queue {
    /// Creates a queue of jobs that are spread over all partitions, or are not for the sake of
    /// instances of earlier versions.
    ///
    /// ```
    /// assert!(coriandernotch::job_store::Queue::new(false).is_empty());
    /// ```
    pub fn new(is_spread: bool) -> Self {
        Self {
            is_spread,
            submissions: SlotMap::default(),
            bytes: 0,
            partitions: Map::default(),
            window: Window::default(),
            in_flight: Set::default(),
            uncertain: Map::default(),
            ends_at: None,
        }
    }

    /// Adds a submission whose caller must have a reply by a time. `None` if too many wait.
    pub fn submit(
        &mut self,
        id: &str,
        bytes: usize,
        answer_by: Instant,
        now: Instant,
    ) -> Option<SubmissionKey> {
        if self.submissions.len() >= MAX_WAITING || self.bytes + bytes > MAX_WAITING_BYTES {
            return None;
        }
        self.bytes += bytes;
        let partition = Partition::to_store(id, self.is_spread);
        let key = self.submissions.insert(Waiting {
            id: id.into(),
            partition,
            bytes,
            arrived: now,
            answer_by,
            may_be_stored: false,
        });
        let pending = self.partitions.entry(partition).or_default();
        pending.fresh.push_back(key);
        Some(key)
    }

    /// Removes a submission whose caller has gone, unless a transaction with it is in flight or may take
    /// effect. Returns whether it is removed.
    pub fn withdraw(&mut self, key: SubmissionKey) -> bool {
        let Some(waiting) = self.submissions.get(key) else {
            return false;
        };
        let pending = self.partitions.get(&waiting.partition);
        let is_fresh = pending.is_some_and(|pending| pending.fresh.contains(&key));
        if is_fresh {
            self.remove(key);
        }
        is_fresh
    }

    /// Returns whether a transaction with a job is in flight, or an earlier one may take effect, so
    /// that no submission of it may be called refused.
    pub fn is_uncertain(&self, id: &str, now: Instant) -> bool {
        let until = self.uncertain.get(id);
        self.in_flight.contains(id) || until.is_some_and(|until| now < *until)
    }

    /// Sets when the instance ends. Submissions that are not sent are refused before that.
    pub fn close(&mut self, ends_at: Instant) {
        self.ends_at = Some(ends_at);
    }

    /// Returns how many submissions wait or are being stored.
    ///
    /// ```
    /// assert_eq!(coriandernotch::job_store::Queue::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.submissions.len()
    }

    /// Returns whether no submissions wait.
    ///
    /// ```
    /// assert!(coriandernotch::job_store::Queue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.submissions.is_empty()
    }

    /// Decides what is to be done next. The answer to a transaction must be recorded.
    pub fn next(&mut self, now: Instant) -> Action {
        if let Some((key, acceptance)) = self.take_overdue(now) {
            return Action::Reply(key, acceptance);
        }
        let may_send = self.window.may_send(Class::Awaited);
        let due = self.due_partition(now).filter(|_| may_send);
        if let Some((partition, is_uncertain)) = due {
            return Action::Send(self.begin(partition, is_uncertain, now));
        }
        let partitions = self.partitions.values();
        let times = partitions
            .filter_map(PartitionQueue::next_time)
            .filter(|at| *at > now);
        let refusals = self.idle_keys().map(|key| self.reply_time(key, now).0);
        Action::Wait(times.chain(refusals).min())
    }

    /// Records the answer to a transaction that took a time. Returns the submissions that no longer
    /// wait.
    pub fn record(
        &mut self,
        batch: &Batch,
        answer: &Answer,
        took: Duration,
        now: Instant,
    ) -> Vec<(SubmissionKey, Acceptance)> {
        let spread = f64::from(now.as_nanos() as u32 % 1_024) / 1_024.0;
        let Some(pending) = self.partitions.get_mut(&batch.partition) else {
            return Vec::new();
        };
        let keys = &batch.submissions;
        let all = |acceptance| keys.iter().map(move |key| (*key, acceptance)).collect();
        let replies: Vec<_> = match answer {
            Answer::Applied | Answer::Conflict { .. } => {
                self.window.record_success(took, now);
                pending.record_success();
                match answer {
                    Answer::Conflict { stored, cancelled } => {
                        let stored = stored.iter().map(|key| (*key, Acceptance::Stored));
                        let cancelled = cancelled.iter().map(|key| (*key, Acceptance::Cancelled));
                        let known: Vec<_> = stored.chain(cancelled).collect();
                        if known.is_empty() {
                            all(Acceptance::Unknown)
                        } else {
                            known
                        }
                    }
                    _ => all(Acceptance::Stored),
                }
            }
            Answer::Busy => {
                self.window.record_refusal(now);
                pending.record_refusal(spread, now);
                Vec::new()
            }
            // One of several jobs may be the cause, so each is sent alone.
            Answer::Rejected => {
                self.window.record_success(took, now);
                pending.record_success();
                pending.is_single = true;
                if keys.len() == 1 {
                    all(Acceptance::Refused)
                } else {
                    Vec::new()
                }
            }
            Answer::Unknown => {
                if batch.timeout < MIN_TIMEOUT && took >= batch.timeout {
                    self.window.record_abandoned();
                } else {
                    self.window.record_silence(took, now);
                }
                pending.record_silence(now);
                for key in keys {
                    if let Some(waiting) = self.submissions.get_mut(*key) {
                        waiting.may_be_stored = true;
                        let until = now + UNCERTAIN_FOR;
                        self.uncertain.insert(waiting.id.clone(), until);
                    }
                }
                self.uncertain.retain(|_, until| now < *until);
                Vec::new()
            }
        };
        for key in keys {
            if let Some(waiting) = self.submissions.get(*key) {
                self.in_flight.remove(&waiting.id);
            }
        }
        for key in keys.iter().rev() {
            let (Some(pending), Some(waiting)) = (
                self.partitions.get_mut(&batch.partition),
                self.submissions.get(*key),
            ) else {
                continue;
            };
            if waiting.may_be_stored {
                pending.uncertain.push_front(*key);
            } else {
                pending.fresh.push_front(*key);
            }
        }
        let replies = replies.into_iter();
        replies
            .filter_map(|(key, acceptance)| self.settle(key, acceptance, now))
            .collect()
    }

    /// Removes a submission whose result is known, and returns the true result.
    fn settle(
        &mut self,
        key: SubmissionKey,
        acceptance: Acceptance,
        now: Instant,
    ) -> Option<(SubmissionKey, Acceptance)> {
        let waiting = self.remove(key)?;
        let may_be_stored = waiting.may_be_stored || self.is_uncertain(&waiting.id, now);
        let acceptance = match acceptance {
            Acceptance::Refused if may_be_stored => Acceptance::Unknown,
            Acceptance::Stored | Acceptance::Cancelled => {
                self.uncertain.remove(&waiting.id);
                acceptance
            }
            other => other,
        };
        Some((key, acceptance))
    }

    fn remove(&mut self, key: SubmissionKey) -> Option<Waiting> {
        let waiting = self.submissions.remove(key)?;
        self.bytes = self.bytes.saturating_sub(waiting.bytes);
        if let Some(pending) = self.partitions.get_mut(&waiting.partition) {
            pending.remove(key);
            if pending.is_empty() {
                self.partitions.remove(&waiting.partition);
            }
        }
        Some(waiting)
    }

    /// Returns the submissions that are not in a transaction.
    fn idle_keys(&self) -> impl Iterator<Item = SubmissionKey> {
        let partitions = self.partitions.values();
        partitions.flat_map(|pending| pending.fresh.iter().chain(&pending.uncertain).copied())
    }

    /// Returns when a submission that is not in a transaction gets a reply, and which.
    fn reply_time(&self, key: SubmissionKey, now: Instant) -> (Instant, Acceptance) {
        let waiting = &self.submissions[key];
        let answer_by = self
            .ends_at
            .map_or(waiting.answer_by, |at| at.min(waiting.answer_by));
        let latest = answer_by - MARGIN;
        if waiting.may_be_stored {
            return (latest, Acceptance::Unknown);
        }
        // A transaction that is sent later would be answered after the caller has gone.
        let latest = answer_by - self.window.expected(now).max(MARGIN);
        if self.window.has_succeeded_since(waiting.arrived) {
            return (latest, Acceptance::Refused);
        }
        // The store may refuse this instance only, so the caller is sent elsewhere while it has time.
        let wait = waiting.answer_by.since(waiting.arrived);
        (latest.min(waiting.arrived + wait / 2), Acceptance::Refused)
    }

    fn take_overdue(&mut self, now: Instant) -> Option<(SubmissionKey, Acceptance)> {
        let overdue = self.idle_keys().find_map(|key| {
            let (at, acceptance) = self.reply_time(key, now);
            (at <= now).then_some((key, acceptance))
        });
        let (key, acceptance) = overdue?;
        self.settle(key, acceptance, now)
    }

    /// Returns the partition whose submissions have the least time, and whether uncertain ones are
    /// sent.
    fn due_partition(&self, now: Instant) -> Option<(Partition, bool)> {
        let partitions = self.partitions.iter();
        let due = partitions.filter_map(|(partition, pending)| {
            let is_uncertain = pending.next_kind(now)?;
            let keys = if is_uncertain {
                &pending.uncertain
            } else {
                &pending.fresh
            };
            let first = self.submissions[*keys.front()?].answer_by;
            Some((first, *partition, is_uncertain))
        });
        let (_, partition, is_uncertain) = due.min()?;
        Some((partition, is_uncertain))
    }

    /// Takes the next transaction of a partition.
    fn begin(&mut self, partition: Partition, is_uncertain: bool, now: Instant) -> Batch {
        let pending = self.partitions.entry(partition).or_default();
        let keys = if is_uncertain {
            &mut pending.uncertain
        } else {
            &mut pending.fresh
        };
        let limit = if pending.is_single { 1 } else { MAX_BATCH_JOBS };
        let (mut ids, mut bytes) = (Set::default(), 0);
        let mut submissions = Vec::new();
        let mut answer_by = now;
        for key in std::mem::take(keys) {
            let waiting = &self.submissions[key];
            let fits = submissions.is_empty() || bytes + waiting.bytes <= MAX_BATCH_BYTES;
            // A repeat of a submission waits for the outcome of the one before.
            if submissions.len() < limit && fits && ids.insert(waiting.id.clone()) {
                bytes += waiting.bytes;
                answer_by = answer_by.max(waiting.answer_by);
                submissions.push(key);
            } else {
                keys.push_back(key);
            }
        }
        pending.begin(is_uncertain);
        self.in_flight.extend(ids);
        self.window.begin();
        let timeout = self.window.expected(now) * TIMEOUT_FACTOR;
        let timeout = timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        Batch {
            partition,
            submissions,
            timeout: timeout.min(answer_by.since(now).max(MARGIN)),
        }
    }
}
