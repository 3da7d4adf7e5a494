use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{End, TaskId};
use coriandernotch::clock::Instant;
use coriandernotch::collections::{Map, Set};

use crate::scenario::MAX_ATTEMPTS;
use crate::violation::Violation;

/// Time after which an instance that reaches the store knows that a job was shown as completed.
const SHOWN_AFTER: Duration = Duration::from_secs(1);

/// What became of one task, as its workers see it.
#[derive(Debug, Default)]
struct History {
    /// Numbers of the runs that are present on workers, with the workers.
    running: Vec<(usize, u64)>,
    /// When the last run ended.
    ended_at: Option<Instant>,
    starts: u64,
    /// For each acknowledged end, the number of starts before it.
    done: Vec<u64>,
    failed: Vec<u64>,
}

/// Checks the rules from what workers and the store see.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    tasks: Map<TaskId, History>,
    /// Jobs that were shown as completed, and when.
    completed: Map<Arc<str>, Instant>,
    /// Jobs whose end is stored. Their rows may have been deleted since.
    ended: Set<Arc<str>>,
    /// Jobs whose tasks may have several runs.
    copied: Set<Arc<str>>,
    pub(crate) violation: Option<Violation>,
}

impl Audit {
    /// Allows several runs of each task of a job.
    pub(crate) fn allow_copies(&mut self, job: &Arc<str>) {
        self.copied.insert(job.clone());
    }

    /// Records a start whose order was sent at `sent`, by an instance that could reach the store if
    /// `in_touch`.
    pub(crate) fn record_start(
        &mut self,
        worker: usize,
        task: &TaskId,
        number: u64,
        sent: Instant,
        in_touch: bool,
    ) {
        let completed = self.completed.get(&task.job);
        let was_shown = completed.is_some_and(|at| *at + SHOWN_AFTER < sent);
        let history = self.tasks.entry(task.clone()).or_default();
        history.starts += 1;
        history.running.push((worker, number));
        let is_copied = self.copied.contains(&task.job);
        let violation =
            if let ([(_, first), .., (_, last)], false) = (&history.running[..], is_copied) {
                Some(Violation::Twice(task.clone(), *first, *last))
            } else if in_touch && was_shown {
                Some(Violation::StartAfterCompletion(task.clone(), number))
            } else if is_copied {
                None
            } else {
                history.find_late_start(task, number)
            };
        self.violation = self.violation.take().or(violation);
    }

    /// Records that a run is gone. Returns the number of starts of the task up to now.
    pub(crate) fn record_end(
        &mut self,
        worker: usize,
        task: &TaskId,
        number: u64,
        now: Instant,
    ) -> u64 {
        let history = self.tasks.entry(task.clone()).or_default();
        history.running.retain(|run| *run != (worker, number));
        history.ended_at = Some(now);
        history.starts
    }

    /// Records that the end of a run was acknowledged, `starts` as returned when it ended.
    pub(crate) fn record_acknowledgement(
        &mut self,
        task: &TaskId,
        number: u64,
        how: End,
        starts: u64,
    ) {
        let history = self.tasks.entry(task.clone()).or_default();
        match how {
            End::Done => history.done.push(starts),
            End::Failed => history.failed.push(starts),
            End::Stopped | End::Lapsed | End::Broken | End::Alone => return,
        }
        if self.copied.contains(&task.job) {
            return;
        }
        let violation = history.find_late_start(task, number);
        self.violation = self.violation.take().or(violation);
    }

    /// Returns since when a task that was submitted at `submitted` has had no run, or `None` if one
    /// is present.
    pub(crate) fn idle_since(&self, task: &TaskId, submitted: Instant) -> Option<Instant> {
        let Some(history) = self.tasks.get(task) else {
            return Some(submitted);
        };
        let is_idle = history.running.is_empty();
        is_idle.then_some(history.ended_at.unwrap_or(submitted))
    }

    /// Records that the end of a job is stored.
    pub(crate) fn record_job_end(&mut self, job: &Arc<str>) {
        self.ended.insert(job.clone());
    }

    /// Returns whether the end of a job is stored.
    pub(crate) fn has_ended(&self, job: &str) -> bool {
        self.ended.contains(job)
    }

    /// Records that callers were shown that a job is complete.
    pub(crate) fn record_completion(&mut self, job: &Arc<str>, now: Instant) {
        self.completed.entry(job.clone()).or_insert(now);
    }
}

impl History {
    /// Returns the violation if the task started after an acknowledged end that excludes it.
    fn find_late_start(&self, task: &TaskId, number: u64) -> Option<Violation> {
        if self.done.iter().any(|before| *before < self.starts) {
            return Some(Violation::StartAfterDone(task.clone(), number));
        }
        let before_start = self.failed.iter().filter(|before| **before < self.starts);
        (before_start.count() >= MAX_ATTEMPTS as usize)
            .then(|| Violation::StartAfterFailures(task.clone(), number))
    }
}
