use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use metrics::counter;
use tokio::sync::{Notify, oneshot};

use super::row::{self, JOBS};
use super::submission::Submission;
use crate::clock::{self, Instant};
use crate::collections::Map;
use crate::job_store::{Acceptance, Action, Answer, Batch, Class, Queue, SubmissionKey};
use crate::platform::api::{Fault, Outcome, Precondition, Row, Store, Transaction};

/// Shortest wait for a time at which something is due.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// HTTP statuses with which the store refuses a call that it may carry out later.
const BUSY_STATUSES: [u16; 2] = [429, 503];

/// Submissions that wait to be stored, with what is to be stored and the callers that wait.
pub(super) struct Committer {
    state: Mutex<State>,
    /// Notified when there is something new to decide.
    wake: Notify,
}

struct State {
    queue: Queue,
    submissions: Map<SubmissionKey, Submission>,
}

impl Committer {
    /// Creates a committer of jobs that are spread over all partitions or are not.
    pub(super) fn new(spread_jobs: bool) -> Self {
        Self {
            state: Mutex::new(State {
                queue: Queue::new(spread_jobs),
                submissions: Map::default(),
            }),
            wake: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("committer lock")
    }

    /// Stores a job unless it is already stored. The result is known shortly before a time, unless a
    /// transaction is still in flight.
    pub(super) async fn commit(
        &self,
        id: &str,
        content: Vec<u8>,
        answer_by: Instant,
    ) -> Acceptance {
        let now = clock::now();
        let (reply, result) = oneshot::channel();
        {
            let mut state = self.state();
            let Some(key) = state.queue.submit(id, content.len(), answer_by, now) else {
                let is_uncertain = state.queue.is_uncertain(id, now);
                return if is_uncertain {
                    Acceptance::Unknown
                } else {
                    Acceptance::Refused
                };
            };
            let key_text = id.to_owned();
            let submission = Submission {
                key: key_text,
                content,
                reply,
            };
            state.submissions.insert(key, submission);
        }
        self.wake.notify_one();
        result.await.unwrap_or(Acceptance::Unknown)
    }

    /// Waits until a transaction is to be sent, and replies to the submissions that are given up
    /// meanwhile.
    pub(super) async fn next_batch(&self) -> Batch {
        loop {
            let action = self.state().next(clock::now());
            match action {
                Action::Send(batch) => return batch,
                Action::Reply(key, acceptance) => self.state().reply(key, acceptance),
                Action::Wait(None) => self.wake.notified().await,
                Action::Wait(Some(at)) => {
                    let wait = at.since(clock::now()).max(MIN_WAIT);
                    let _ = tokio::time::timeout(wait, self.wake.notified()).await;
                }
            }
        }
    }

    /// Sends the transaction of a batch and replies to the submissions whose result is known.
    pub(super) async fn send(&self, store: &Store, batch: &Batch) {
        let transaction = self.state().transaction(batch);
        let sent = clock::now();
        let result = store.transact(&transaction, batch.timeout).await;
        let now = clock::now();
        let mut state = self.state();
        let answer = match result {
            Ok(Outcome::Applied(_)) => Answer::Applied,
            Ok(Outcome::Conflict(rows)) => state.conflict(batch, &rows),
            Err(fault) => {
                let jobs = batch.submissions.len();
                log::warn!(event = "jobs-not-stored", jobs, part = transaction.part,
                    fault:% = fault; "");
                match fault {
                    Fault::Refused { status, .. } if !BUSY_STATUSES.contains(&status) => {
                        Answer::Rejected
                    }
                    fault if fault.had_no_effect() => Answer::Busy,
                    _ => Answer::Unknown,
                }
            }
        };
        let took = now.since(sent);
        let replies = state.queue.record(batch, &answer, took, now);
        for (key, acceptance) in replies {
            state.reply(key, acceptance);
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Refuses what is not sent before a time at which the instance ends.
    pub(super) fn close(&self, ends_at: Instant) {
        self.state().queue.close(ends_at);
        self.wake.notify_one();
    }

    /// Returns whether a call of a kind may be sent now, beside those that are in flight.
    pub(super) fn may_send(&self, class: Class) -> bool {
        self.state().queue.window.may_send(class)
    }

    /// Returns how many submissions wait, how many calls are in flight, and their limit.
    pub(super) fn counts(&self) -> [usize; 3] {
        let state = self.state();
        let window = &state.queue.window;
        [state.queue.len(), window.in_flight(), window.limit()]
    }
}

impl State {
    /// Decides what is to be done next. Submissions whose callers have gone are not sent: another
    /// instance may have told them that their jobs are refused.
    fn next(&mut self, now: Instant) -> Action {
        let queue = &mut self.queue;
        (self.submissions)
            .retain(|key, submission| !(submission.reply.is_closed() && queue.withdraw(*key)));
        queue.next(now)
    }

    fn reply(&mut self, key: SubmissionKey, acceptance: Acceptance) {
        let Some(submission) = self.submissions.remove(&key) else {
            return;
        };
        let job = &*submission.key;
        match acceptance {
            Acceptance::Refused => log::warn!(event = "jobs-refused", jobs = 1, job; ""),
            Acceptance::Unknown => log::warn!(event = "jobs-unknown", jobs = 1, job; ""),
            Acceptance::Stored | Acceptance::Cancelled => {}
        }
        counter!("submissions_total", "result" => <&'static str>::from(acceptance)).increment(1);
        // Fails when the caller has disconnected and needs no result.
        let _ = submission.reply.send(acceptance);
    }

    /// Returns the transaction that stores jobs unless they or their cancellations are stored. It may
    /// be carried out late, so it also depends on the cancellations.
    fn transaction(&self, batch: &Batch) -> Transaction {
        let submissions = batch.submissions.iter();
        let submissions = submissions.filter_map(|key| self.submissions.get(key));
        let mut transaction = Transaction {
            part: batch.partition.name(),
            ..Transaction::default()
        };
        for submission in submissions {
            let keys = [submission.key.clone(), row::cancel_key(&submission.key)];
            let expected = keys.map(|key| Precondition {
                table: JOBS,
                key,
                version: 0,
            });
            transaction.expected.extend(expected);
            let content = submission.content.clone();
            transaction
                .puts
                .push((JOBS, submission.key.clone(), content));
        }
        transaction
    }

    /// Returns what the rows of a conflict show.
    fn conflict(&self, batch: &Batch, rows: &[Row]) -> Answer {
        // A deletion is listed with a version too.
        let is_stored = |row: &Row| row.version > 0 && row.content.is_some();
        let exists = |key: &str| rows.iter().any(|row| &*row.key == key && is_stored(row));
        let (mut stored, mut cancelled) = (Vec::new(), Vec::new());
        for key in &batch.submissions {
            match self.submissions.get(key) {
                Some(submission) if exists(&submission.key) => stored.push(*key),
                Some(submission) if exists(&row::cancel_key(&submission.key)) => {
                    cancelled.push(*key);
                }
                _ => {}
            }
        }
        Answer::Conflict { stored, cancelled }
    }
}
