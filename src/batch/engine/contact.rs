//! What is known from the last answers of a worker, and when it must be polled.

use std::time::Duration;

use super::{Engine, Worker};
use crate::batch::WorkerKey;
use crate::clock::Instant;

/// Age of the latest response of a worker from which it must answer before a lasting task is
/// started on it. A start without an answer holds the task until the lease has expired.
const MAX_RESPONSE_AGE: Duration = Duration::from_secs(1);

/// The same for a worker that listed no runs: another process may have taken its place, so the
/// longest lease must expire.
const MAX_RESPONSE_AGE_OF_IDLE: Duration = Duration::from_millis(250);

impl Engine {
    /// Returns whether a worker must be polled: it has runs or lists unwanted ones, has ends to
    /// acknowledge, has not answered this leader yet or did not answer the last call.
    pub fn needs_poll(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(|w| {
            !w.runs.is_empty()
                || !w.unwanted.is_empty()
                || w.lists_ends
                || w.acknowledged_position < w.last_end_position
                || ((w.answered_at.is_none() || w.unreachable) && !w.delisted)
                || self.uncontacted.contains_key(&w.profile.id)
        })
    }

    /// Returns the time since a worker last answered.
    pub fn time_since_answer(&self, key: WorkerKey, now: Instant) -> Duration {
        let answered_at = self.workers.get(key).and_then(|worker| worker.answered_at);
        answered_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Returns whether a worker must answer a poll before tasks are started on it: it has not
    /// answered at its address yet, or since it last responded to a poll or a start order a whole
    /// lease has passed, or a shorter time if a lasting task is to start. Its process may not answer any
    /// more or may have been replaced.
    pub fn must_answer_before_start(&self, key: WorkerKey, now: Instant) -> bool {
        let reachable = self.workers.get(key).filter(|worker| !worker.unreachable);
        let starting = reachable.filter(|worker| self.awaits_lasting_start(worker));
        let max_age = match starting {
            Some(worker) if worker.lists_runs => MAX_RESPONSE_AGE,
            Some(_) => MAX_RESPONSE_AGE_OF_IDLE,
            None => self.lease(),
        };
        let is_outdated = |at: Instant| now.since(at) > max_age;
        reachable.is_some_and(|worker| {
            !worker.has_answered_at_its_address() || worker.responded_at.is_none_or(is_outdated)
        })
    }

    /// Returns whether a lasting task is to start on a worker and its order was not answered yet.
    fn awaits_lasting_start(&self, worker: &Worker) -> bool {
        let mut runs = worker.runs.iter().map(|run| &self.runs[*run]);
        runs.any(|run| run.lasting && run.confirmed_at.is_none() && run.uncertain_since.is_none())
    }

    /// Returns whether a worker must be polled often because a start order got no answer: the task
    /// can start elsewhere only once its run was found missing.
    pub fn has_uncertain_run(&self, key: WorkerKey) -> bool {
        let runs = self.workers.get(key).map(|worker| &worker.runs);
        let mut runs = runs.into_iter().flatten().map(|run| &self.runs[*run]);
        runs.any(|run| run.uncertain_since.is_some())
    }

    /// Returns whether a task that ends by itself runs on a worker.
    pub fn has_short_run(&self, key: WorkerKey) -> bool {
        let runs = self.workers.get(key).map(|worker| &worker.runs);
        let mut runs = runs.into_iter().flatten().map(|run| &self.runs[*run]);
        runs.any(|run| !run.lasting)
    }

    /// Returns whether only a poll sent after `since` can show whether a run is on a worker: the
    /// answer to its start order is late, or the worker has confirmed its stop.
    pub fn has_unverified_run(&self, key: WorkerKey, since: Instant) -> bool {
        let runs = self.workers.get(key).map(|worker| &worker.runs);
        let mut runs = runs.into_iter().flatten().map(|run| &self.runs[*run]);
        runs.any(|run| {
            let changed_at = run.stop_confirmed_at.or(run.uncertain_since);
            run.uncertain_since.is_some() && changed_at.is_some_and(|at| at >= since)
        })
    }

    /// Returns whether a worker answered the last call.
    pub fn answers(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|w| w.answered_at.is_some() && !w.unreachable)
    }
}
