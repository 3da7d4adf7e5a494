use std::sync::Arc;

use super::Occurrence;
use crate::batch::{Progress, Ranges, Record, State, Terms};
use crate::clock::Instant;

/// A job in progress.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) id: Arc<str>,
    pub(super) record: Record,
    /// When this leader learned of the job.
    pub(super) known_since: Instant,
    /// Service whose workers currently run it.
    pub(super) service: Arc<str>,
    /// What its queue grants, or granted before it was removed.
    pub(super) terms: Terms,
    /// Factor of its critical path in its objective; `None` if its queue is unknown.
    pub(super) stretch: Option<f64>,
    /// Occurrences that have begun and are not complete.
    pub(super) occurrences: Vec<Occurrence>,
    /// Number of the next occurrence.
    pub(super) next_occurrence: u32,
    /// Numbers of the complete occurrences.
    pub(super) complete_occurrences: Ranges,
    pub(super) state: State,
    /// When the job ended, in milliseconds since 1970.
    pub(super) ended_ms: u64,
    /// Number of changes made, and number of changes stored.
    pub(super) change_count: u64,
    pub(super) stored_changes: u64,
    /// Whether callers wait for the change to be stored.
    pub(super) urgent: bool,
    pub(super) dirty: bool,
    /// Whether its workspace submitted more jobs in the same second than its weight allows.
    pub(super) over_rate: bool,
    /// Whether a previous leader may have started tasks of the job.
    pub(super) inherited: bool,
}

impl Job {
    /// Returns whether a task has been started.
    pub(super) fn is_started(&self) -> bool {
        self.state != State::Queued
    }

    /// Returns whether the next scheduled occurrence is due. A job that has ended begins no further
    /// ones, although it is kept until its runs have stopped and its end is stored.
    pub(super) fn is_occurrence_due(&self, wall_ms: u64) -> bool {
        let spec = &self.record.spec;
        let due_ms = spec.due_ms(self.next_occurrence);
        !self.state.is_final()
            && self.next_occurrence < spec.occurrence_count()
            && due_ms.is_some_and(|at| at <= wall_ms)
    }

    /// Counts the tasks of its occurrences that are not done.
    pub(super) fn unfinished_tasks(&self) -> usize {
        let occurrences = self.occurrences.iter();
        occurrences.map(Occurrence::unfinished_tasks).sum()
    }

    /// Returns the progress to store.
    pub(super) fn progress(&self) -> Progress {
        let mut progress = Progress {
            state: self.state,
            ended_ms: self.ended_ms,
            ..Progress::default()
        };
        if self.state.is_final() {
            return progress;
        }
        progress.complete.clone_from(&self.complete_occurrences);
        for occurrence in &self.occurrences {
            for (step, stage) in (0..).zip(&occurrence.stages) {
                let done = (0..).zip(&stage.tasks).filter(|(_, task)| task.done);
                let done: Ranges = done.map(|(index, _)| index).collect();
                if !done.is_empty() {
                    progress.done_ranges.push((occurrence.number, step, done));
                }
                let failed = (0..).zip(&stage.tasks);
                let failed = failed.filter(|(_, task)| !task.failures.is_empty());
                progress.failed.extend(
                    failed.map(|(index, task)| {
                        (occurrence.number, step, index, task.failures.clone())
                    }),
                );
            }
        }
        progress.list_few_tasks(&self.record.spec);
        progress
    }
}
