use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use super::denial::Denial;
use super::precedence::Precedence;
use super::{Engine, StageKey, Worker};
use crate::batch::{Question, TaskId, WorkerKey};
use crate::clock::Instant;

/// Maximum number of workers in one question; each adds to the response time.
const MAX_WORKERS_PER_QUESTION: usize = 30;

/// Time after which the advice service may be asked again about a step.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(500);

/// Time after which the service is asked again whether a worker may run a step. The answer does not
/// change for a worker process; this bounds the effect of a wrong one.
const DENIAL_VALID_FOR: Duration = Duration::from_secs(5);

/// Time by which a step that was never asked about goes before those that were. It is longer than
/// [`DENIAL_VALID_FOR`], so steps that no worker may run keep no other step waiting.
const NEW_STEP_HEAD_START: Duration = Duration::from_secs(10);

impl Engine {
    /// Returns the next question for the advice service. The steps take turns, and each question
    /// names workers that the service was not asked about for this step.
    pub fn next_question(&mut self, now: Instant) -> Option<Question> {
        let stage_keys = self.ready_stages.values().flatten();
        let waiting = stage_keys.filter(|stage_key| self.needs_advice(**stage_key, now));
        let mut waiting: Vec<(Instant, StageKey)> = waiting
            .map(|stage_key| (self.advice_turn(*stage_key), *stage_key))
            .collect();
        waiting.sort_by_key(|(turn, _)| *turn);
        waiting
            .into_iter()
            .find_map(|(_, stage_key)| self.ask_about(stage_key, now))
    }

    /// Makes a question about a step. Returns `None` if there are no workers to ask about.
    fn ask_about(&mut self, stage_key: StageKey, now: Instant) -> Option<Question> {
        let workers = self.workers_without_advice(stage_key, now);
        let stage = self.stage_mut(stage_key)?;
        stage.ask_from = now + ASK_AGAIN_AFTER;
        if workers.is_empty() {
            return None;
        }
        stage.asked_at = Some(now);
        let job = &self.jobs[stage_key.job];
        let advice = job.terms.advice?;
        let count = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        Some(Question {
            task: TaskId {
                job: job.id.clone(),
                occurrence: stage_key.occurrence,
                step: stage_key.step,
                index: 0,
            },
            workers,
            expected_time: advice.decide + advice.each * count,
        })
    }

    /// Returns the time by which steps take turns.
    fn advice_turn(&self, stage_key: StageKey) -> Instant {
        let known_since = self.jobs[stage_key.job].known_since;
        let stage = self.stage(stage_key.job, stage_key.occurrence, stage_key.step);
        let asked_at = stage.and_then(|stage| stage.asked_at);
        asked_at.map_or(known_since, |at| at + NEW_STEP_HEAD_START)
    }

    /// Returns whether tasks of a step wait and workers with tickets have no room for its next start.
    fn needs_advice(&self, stage_key: StageKey, now: Instant) -> bool {
        let stage = self.stage(stage_key.job, stage_key.occurrence, stage_key.step);
        let Some(stage) = stage.filter(|_| self.needs_ticket(stage_key)) else {
            return false;
        };
        let step = &self.jobs[stage_key.job].record.spec.steps[stage_key.step as usize];
        stage.ask_from <= now
            && stage.tasks.iter().any(|task| task.is_waiting(now))
            && !self.has_ticketed_room(stage_key, step, now)
    }

    /// Lists the ids of some workers that may be able to run a step, and of which it is not known
    /// whether they are allowed to: those with room first, of these by [`Precedence`], and then the
    /// freest. If others are allowed and only lack room, workers without room are left out.
    fn workers_without_advice(&self, stage_key: StageKey, now: Instant) -> Vec<Arc<str>> {
        let Some(stage) = self.stage(stage_key.job, stage_key.occurrence, stage_key.step) else {
            return Vec::new();
        };
        let job = &self.jobs[stage_key.job];
        let step = &job.record.spec.steps[stage_key.step as usize];
        let has_ticket = |key: &WorkerKey| {
            let ticket = stage.tickets.get(key);
            ticket.is_some_and(|(_, until)| *until > now)
        };
        let is_denied = |key: &WorkerKey, worker: &Worker| {
            let denial = stage.denials.get(key);
            denial.is_some_and(|denial| denial.until > now && denial.born_ms == worker.born_ms)
        };
        let is_unknown = |(key, worker): &(WorkerKey, &Worker)| {
            self.may_start(worker, now)
                && step.label.iter().all(|label| worker.has_label(label))
                && !has_ticket(key)
                && !is_denied(key, worker)
        };
        let others_are_allowed = stage.tickets.iter().any(|(key, (_, until))| {
            let worker = self.workers.get(*key);
            *until > now && worker.is_some_and(|worker| self.may_start(worker, now))
        });
        let mut workers: Vec<(bool, Precedence, u64, &Arc<str>)> = self
            .workers_of(&job.service)
            .filter(is_unknown)
            .map(|(key, worker)| {
                let exclusion = self.step_exclusion(stage_key, step, key, false, now);
                let precedence = Precedence::of(stage, key, worker);
                let free = worker.free_capacity().processors;
                (exclusion.is_none(), precedence, free, &worker.profile.id)
            })
            .filter(|(has_room, ..)| *has_room || !others_are_allowed)
            .collect();
        workers.sort_by_key(|(has_room, precedence, free, _)| {
            (Reverse(*has_room), *precedence, Reverse(*free))
        });
        let ids = workers.into_iter().map(|(.., id)| id.clone());
        ids.take(MAX_WORKERS_PER_QUESTION).collect()
    }

    /// Records an answer of the advice service that arrived at `now`: the tickets of the workers that
    /// may run the step, which are valid until `until`. The other workers that were named may not.
    pub fn record_tickets(
        &mut self,
        question: &Question,
        good: &[(Arc<str>, Arc<str>)],
        until: Instant,
        now: Instant,
    ) {
        let Some(&job) = self.job_ids.get(&question.task.job) else {
            return;
        };
        let key_of = |id: &Arc<str>| self.worker_ids.get(id).copied();
        let tickets: Vec<_> = good
            .iter()
            .filter_map(|(id, ticket)| Some((key_of(id)?, (ticket.clone(), until))))
            .collect();
        let denial = |key: WorkerKey| Denial {
            born_ms: self.workers[key].born_ms,
            until: now + DENIAL_VALID_FOR,
        };
        let is_denied = |id: &&Arc<str>| !good.iter().any(|(named, _)| named == *id);
        let denied = question.workers.iter().filter(is_denied);
        let denials: Vec<_> = denied
            .filter_map(key_of)
            .map(|key| (key, denial(key)))
            .collect();
        let stage_key = StageKey {
            job,
            occurrence: question.task.occurrence,
            step: question.task.step,
        };
        let is_known = |key: &WorkerKey| self.workers.contains_key(*key);
        let job = self.jobs.get_mut(stage_key.job);
        let stage = job.and_then(|job| job.stage_mut(stage_key.occurrence, stage_key.step));
        if let Some(stage) = stage {
            stage.record_advice(tickets, denials);
            stage.tickets.retain(|key, _| is_known(key));
            stage.denials.retain(|key, _| is_known(key));
            // A step with more workers to ask about waits for its turn only.
            stage.ask_from = now;
        }
    }
}
