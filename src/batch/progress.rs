use serde::{Deserialize, Serialize};

use super::{Ranges, Spec, State, TaskWindow};

/// Number of succeeded tasks up to which they are listed one by one, as leaders of older versions
/// read them. Rows with longer lists, of which one transaction writes many, become too large for the
/// store.
const MAX_LISTED_TASKS: u64 = 500;

/// Size of the lists of tasks up to which they are stored in the form that leaders of older versions
/// read, in bytes. Such leaders take a [`TaskWindow`] as no progress.
const MAX_LIST_BYTES: usize = 32_768;

/// Largest sizes of a listed task, of a range, and of a failed task without and with one run number.
const TASK_BYTES: usize = 24;
const RANGE_BYTES: usize = 24;
const FAILED_TASK_BYTES: usize = 36;
const RUN_NUMBER_BYTES: usize = 21;

/// Stored progress of the tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Progress {
    /// State shown to callers.
    pub state: State,
    /// Succeeded tasks, as (occurrence, step, index).
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32, u32)>,
    /// Further succeeded tasks, as (occurrence, step, indexes).
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub done_ranges: Vec<(u32, u32, Ranges)>,
    /// Occurrences of which all tasks have succeeded, beside the tasks that are listed.
    #[serde(skip_serializing_if = "Ranges::is_empty")]
    pub complete: Ranges,
    /// Failed tasks, as (occurrence, step, index, numbers of the failed runs). A worker lists an
    /// end until it is acknowledged, so a new leader may read one that is already stored.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<(u32, u32, u32, Vec<u64>)>,
    /// When the job ended, in milliseconds since 1970; 0 before.
    pub ended_ms: u64,
    /// Tasks and their failures, in place of the lists above if these are too long.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub window: Option<TaskWindow>,
}

impl Progress {
    /// Returns the succeeded tasks of occurrences that are not listed as complete.
    ///
    /// ```
    /// use coriandernotch::batch::Progress;
    ///
    /// let done_ranges = vec![(0, 2, [4, 5].into_iter().collect())];
    /// let progress = Progress { done: vec![(0, 1, 3)], done_ranges, ..Progress::default() };
    /// assert_eq!(progress.done_tasks().collect::<Vec<_>>(), [(0, 1, 3), (0, 2, 4), (0, 2, 5)]);
    /// ```
    pub fn done_tasks(&self) -> impl Iterator<Item = (u32, u32, u32)> {
        let ranges = self.done_ranges.iter();
        let tasks = ranges.flat_map(|(occurrence, step, indexes)| {
            indexes.iter().map(|index| (*occurrence, *step, index))
        });
        let window = self.window.iter().flat_map(TaskWindow::done_tasks);
        self.done.iter().copied().chain(tasks).chain(window)
    }

    /// Returns the failed tasks with the numbers of their failed runs.
    ///
    /// ```
    /// use coriandernotch::batch::Progress;
    ///
    /// let progress = Progress { failed: vec![(0, 1, 3, vec![7])], ..Progress::default() };
    /// assert_eq!(progress.failed_tasks().collect::<Vec<_>>(), [(0, 1, 3, vec![7])]);
    /// ```
    pub fn failed_tasks(&self) -> impl Iterator<Item = (u32, u32, u32, Vec<u64>)> {
        let window = self.window.iter().flat_map(TaskWindow::failed_tasks);
        self.failed.iter().cloned().chain(window)
    }

    /// Returns the occurrences of which all tasks have succeeded, beside those that
    /// [`Progress::done_tasks`] completes in the lists.
    pub(super) fn complete_occurrences(&self) -> Ranges {
        let window = self.window.iter();
        let window = window.flat_map(TaskWindow::complete_occurrences);
        self.complete.iter().chain(window).collect()
    }

    /// Returns whether the lists are so short that they are stored as they are.
    pub(super) fn is_short(&self) -> bool {
        let ranges = self.done_ranges.iter();
        let ranges: usize = ranges.map(|(.., indexes)| 1 + indexes.range_count()).sum();
        let failed = self.failed.iter();
        let failed = failed.map(|(.., runs)| FAILED_TASK_BYTES + runs.len() * RUN_NUMBER_BYTES);
        let bytes = self.done.len() * TASK_BYTES
            + (ranges + self.complete.range_count()) * RANGE_BYTES
            + failed.sum::<usize>();
        bytes <= MAX_LIST_BYTES
    }

    /// Lists the succeeded tasks one by one if there are few.
    pub(super) fn list_few_tasks(&mut self, spec: &Spec) {
        let tasks_each: u64 = spec.steps.iter().map(|step| u64::from(step.count)).sum();
        let ranges = self.done_ranges.iter();
        let count: u64 = ranges.map(|(.., indexes)| indexes.len()).sum();
        if self.complete.len().saturating_mul(tasks_each) + count > MAX_LISTED_TASKS {
            return;
        }
        let complete = std::mem::take(&mut self.complete);
        for occurrence in complete.iter() {
            for (step, stage) in (0..).zip(&spec.steps) {
                let tasks = (0..stage.count).map(|index| (occurrence, step, index));
                self.done.extend(tasks);
            }
        }
        let tasks: Vec<_> = self.done_tasks().skip(self.done.len()).collect();
        self.done.extend(tasks);
        self.done_ranges.clear();
    }
}
