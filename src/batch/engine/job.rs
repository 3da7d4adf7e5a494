use std::sync::Arc;

use super::{Occurrence, Stage};
use crate::batch::{Progress, Ranges, Record, Spec, State, TaskWindow, Terms};
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
    /// Number of its runs that may be present on workers, also of those in complete occurrences.
    pub(super) run_count: usize,
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

    /// Returns whether the job is needed no more: it has ended, its end is stored, and it has no runs,
    /// which refer to it.
    pub(super) fn is_removable(&self) -> bool {
        self.state.is_final() && self.stored_changes == self.change_count && self.run_count == 0
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
        if progress.is_short() {
            return progress;
        }
        Progress {
            state: self.state,
            complete: Ranges::below(self.first_incomplete()),
            window: Some(self.window()),
            ..Progress::default()
        }
    }

    /// Returns whether the progress still fits into a row if a further occurrence begins: that of all
    /// occurrences from the first that is not complete is stored.
    pub(super) fn has_room_for_occurrence(&self) -> bool {
        let steps = self.record.spec.steps.iter();
        let tasks_each: u64 = steps.map(|step| u64::from(step.count)).sum();
        let begun = u64::from(self.next_occurrence - self.first_incomplete());
        self.occurrences.is_empty() || (begun + 1).saturating_mul(tasks_each) <= Spec::MAX_TASKS
    }

    /// Returns a stage of an occurrence that is not complete.
    pub(super) fn stage_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut Stage> {
        let found = self
            .occurrences
            .binary_search_by_key(&occurrence, |o| o.number);
        self.occurrences[found.ok()?].stages.get_mut(step as usize)
    }

    /// Returns the number of the first occurrence that has begun and is not complete, or else of the
    /// next one.
    pub(super) fn first_incomplete(&self) -> u32 {
        let numbers = self.occurrences.iter().map(|occurrence| occurrence.number);
        numbers.min().unwrap_or(self.next_occurrence)
    }

    /// Returns the progress of the occurrences from the first that is not complete.
    fn window(&self) -> TaskWindow {
        let steps = self.record.spec.steps.iter().map(|step| step.count);
        let mut window = TaskWindow {
            first: self.first_incomplete(),
            occurrences: self.next_occurrence - self.first_incomplete(),
            steps: steps.collect(),
            ..TaskWindow::default()
        };
        let tasks_each: u32 = window.steps.iter().sum();
        for position in 0..window.occurrences {
            let number = window.first + position;
            let Some(first_task) = position.checked_mul(tasks_each) else {
                break;
            };
            let known = self.occurrences.binary_search_by_key(&number, |o| o.number);
            if let Ok(known) = known {
                let stages = self.occurrences[known].stages.iter();
                for (task, state) in (first_task..).zip(stages.flat_map(|stage| &stage.tasks)) {
                    window.add(task, state.done, &state.failures);
                }
            } else {
                (first_task..)
                    .take(tasks_each as usize)
                    .for_each(|task| window.add(task, true, &[]));
            }
        }
        window.shrink();
        window
    }
}
