use std::sync::Arc;
use std::time::Duration;

use super::{Engine, StageKey};
use crate::batch::{Question, TaskId};
use crate::clock::Instant;

/// Maximum number of workers in one question; each adds to the response time.
const MAX_WORKERS: usize = 30;

/// Time after which the advice service is asked again about a step.
const ASK_AGAIN: Duration = Duration::from_millis(500);

impl Engine {
    /// Returns the next question for the advice service.
    pub fn next_question(&mut self, now: Instant) -> Option<Question> {
        let places: Vec<StageKey> = self.open.values().flatten().copied().collect();
        let place = places
            .into_iter()
            .find(|place| self.needs_advice(*place, now))?;
        let job = &self.jobs[place.job];
        let route = self.config.route_named(&job.record.route)?;
        let advice = route.advice?;
        let step = &job.record.spec.steps[place.step as usize];
        let suits = |w: &&super::Worker| {
            *w.offer.service == *job.service
                && self.may_start(w, now)
                && step.label.as_ref().is_none_or(|label| w.has(label))
        };
        let mut workers: Vec<_> = self.workers.values().filter(suits).collect();
        workers.sort_by_key(|w| std::cmp::Reverse(w.free().processors));
        workers.truncate(MAX_WORKERS);
        let workers: Vec<Arc<str>> = workers.iter().map(|w| w.offer.id.clone()).collect();
        let count = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        let task = TaskId {
            job: job.id.clone(),
            occurrence: place.occurrence,
            step: place.step,
            index: 0,
        };
        self.stage_mut(place)?.asked = Some(now);
        Some(Question {
            task,
            workers,
            takes: advice.decide + advice.each * count,
        })
    }

    fn needs_advice(&self, place: StageKey, now: Instant) -> bool {
        let Some(job) = self.jobs.get(place.job) else {
            return false;
        };
        let advised = self
            .config
            .route_named(&job.record.route)
            .is_some_and(|route| route.advice.is_some());
        let Some(stage) = self.stage(place.job, place.occurrence, place.step) else {
            return false;
        };
        advised
            && stage.asked.is_none_or(|at| now.since(at) > ASK_AGAIN)
            && stage.tasks.iter().any(|task| task.is_waiting(now))
            && !stage.tickets.values().any(|(_, until)| *until > now)
    }

    /// Records the tickets for a step, which are valid until `until`.
    pub fn advised(&mut self, question: &Question, good: &[(Arc<str>, Arc<str>)], until: Instant) {
        let Some(&job) = self.ids.get(&question.task.job) else {
            return;
        };
        let tickets: Vec<_> = good
            .iter()
            .filter_map(|(id, ticket)| Some((*self.worker_ids.get(id)?, (ticket.clone(), until))))
            .collect();
        let place = StageKey {
            job,
            occurrence: question.task.occurrence,
            step: question.task.step,
        };
        if let Some(stage) = self.stage_mut(place) {
            stage.tickets = tickets.into_iter().collect();
        }
    }
}
