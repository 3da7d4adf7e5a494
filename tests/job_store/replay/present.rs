use std::collections::BTreeMap;

use coriandernotch::clock::Instant;
use coriandernotch::job_store::{
    Acceptance, Action, Answer, Batch, Partition, Queue, SubmissionKey,
};

use super::instance::{Call, Steps};

/// An instance that stores jobs by a [`Queue`].
#[derive(Debug, Default)]
pub(super) struct Present {
    queue: Queue,
    jobs: BTreeMap<SubmissionKey, usize>,
    calls: BTreeMap<u64, (Batch, Instant)>,
    last_call: u64,
}

impl Present {
    pub(super) fn submit(
        &mut self,
        job: usize,
        id: &str,
        answer_by: Instant,
        now: Instant,
    ) -> Steps {
        let Some(key) = self.queue.submit(id, 1_000, answer_by, now) else {
            return Steps {
                replies: vec![(job, Acceptance::Refused)],
                ..Steps::default()
            };
        };
        self.jobs.insert(key, job);
        self.steps(now)
    }

    /// Records an answer. `stored` are the jobs that a conflict shows.
    pub(super) fn record(
        &mut self,
        call: u64,
        answer: &Answer,
        stored: &[usize],
        now: Instant,
    ) -> Steps {
        let (batch, sent) = self.calls.remove(&call).unwrap();
        let is_stored = |key: &&SubmissionKey| stored.contains(&self.jobs[*key]);
        let answer = match answer {
            Answer::Conflict { .. } => Answer::Conflict {
                stored: batch
                    .submissions
                    .iter()
                    .filter(is_stored)
                    .copied()
                    .collect(),
                cancelled: Vec::new(),
            },
            other => other.clone(),
        };
        let replies = self.queue.record(&batch, &answer, now.since(sent), now);
        let replies = replies.into_iter();
        let mut replies: Vec<_> = replies.map(|(key, a)| (self.jobs[&key], a)).collect();
        let mut steps = self.steps(now);
        steps.replies.append(&mut replies);
        steps
    }

    pub(super) fn steps(&mut self, now: Instant) -> Steps {
        let mut steps = Steps::default();
        loop {
            match self.queue.next(now) {
                Action::Send(batch) => {
                    self.last_call += 1;
                    let partition = match batch.partition {
                        Partition::Jobs(number) => u32::from(number),
                        Partition::Progress(_) => panic!("jobs are not stored beside progress"),
                    };
                    steps.calls.push(Call {
                        number: self.last_call,
                        partition,
                        jobs: batch.submissions.iter().map(|key| self.jobs[key]).collect(),
                        timeout: batch.timeout,
                    });
                    self.calls.insert(self.last_call, (batch, now));
                }
                Action::Reply(key, acceptance) => steps.replies.push((self.jobs[&key], acceptance)),
                Action::Wait(at) => {
                    steps.wake_at = at;
                    return steps;
                }
            }
        }
    }
}
