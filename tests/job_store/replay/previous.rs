use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::job_store::{Acceptance, Answer};

use super::instance::{Call, Steps};

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which a transaction with unknown outcome is retried, and the delay before each attempt.
const RETRY_FOR: Duration = Duration::from_millis(2_600);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of jobs in one transaction.
const MAX_BATCH_JOBS: usize = 20;

/// Jobs of one of the two partitions.
#[derive(Debug, Default)]
struct Lane {
    waiting: Vec<usize>,
    batch: Vec<usize>,
    is_in_flight: bool,
    may_be_stored: bool,
    begun: Instant,
    retry_at: Option<Instant>,
}

/// An instance that stored jobs in two partitions, each with one batch at a time, which was retried
/// while its outcome was unknown.
#[derive(Debug, Default)]
pub(super) struct Previous {
    lanes: [Lane; 2],
    calls: u64,
}

impl Previous {
    pub(super) fn submit(&mut self, job: usize, id: &str, now: Instant) -> Steps {
        let sum = id.bytes().fold(0u8, u8::wrapping_add);
        self.lanes[usize::from(sum % 2)].waiting.push(job);
        self.steps(now)
    }

    pub(super) fn record(
        &mut self,
        call: u64,
        answer: &Answer,
        stored: &[usize],
        now: Instant,
    ) -> Steps {
        // The number of a call names its partition.
        let lane = &mut self.lanes[(call % 2) as usize];
        lane.is_in_flight = false;
        let mut replies = Vec::new();
        let mut reply = |jobs: &mut Vec<usize>, acceptance| {
            replies.extend(jobs.drain(..).map(|job| (job, acceptance)));
        };
        match answer {
            Answer::Applied => reply(&mut lane.batch, Acceptance::Stored),
            Answer::Conflict { .. } => {
                let known = lane.batch.extract_if(.., |job| stored.contains(job));
                reply(&mut known.collect(), Acceptance::Stored);
                (lane.begun, lane.may_be_stored) = (now, false);
            }
            Answer::Busy if !lane.may_be_stored => reply(&mut lane.batch, Acceptance::Refused),
            Answer::Busy | Answer::Rejected | Answer::Unknown => {
                lane.may_be_stored |= *answer == Answer::Unknown;
                if now.since(lane.begun) > RETRY_FOR {
                    reply(&mut lane.batch, Acceptance::Unknown);
                } else {
                    lane.retry_at = Some(now + RETRY_DELAY);
                }
            }
        }
        let mut steps = self.steps(now);
        steps.replies.append(&mut replies);
        steps
    }

    pub(super) fn steps(&mut self, now: Instant) -> Steps {
        let mut steps = Steps::default();
        for (index, lane) in self.lanes.iter_mut().enumerate() {
            if lane.is_in_flight {
                continue;
            }
            if lane.batch.is_empty() && !lane.waiting.is_empty() {
                let count = lane.waiting.len().min(MAX_BATCH_JOBS);
                lane.batch = lane.waiting.drain(..count).collect();
                (lane.begun, lane.may_be_stored, lane.retry_at) = (now, false, None);
            }
            if lane.batch.is_empty() {
                continue;
            }
            if let Some(at) = lane.retry_at.filter(|at| *at > now) {
                steps.wake_at = Some(steps.wake_at.map_or(at, |other| other.min(at)));
                continue;
            }
            lane.is_in_flight = true;
            self.calls += 1;
            steps.calls.push(Call {
                number: self.calls * 2 + index as u64,
                partition: index as u32,
                jobs: lane.batch.clone(),
                timeout: TIMEOUT,
            });
        }
        steps
    }
}
