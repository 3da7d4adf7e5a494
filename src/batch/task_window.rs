use serde::{Deserialize, Serialize};

use super::{Tallies, TaskSet};

/// Largest size of a window with the numbers of failed runs, in bytes. The rest of a row is left for
/// the other fields.
const MAX_NUMBERED_BYTES: usize = 60_000;

/// Largest number of tasks in a window that is read, so that a row of another writer cannot take all
/// memory.
const MAX_READ_TASKS: usize = 400_000;

/// Progress of the tasks of consecutive occurrences in a bounded form, for jobs whose tasks are too
/// many to be listed. The tasks of all steps and occurrences are numbered in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct TaskWindow {
    /// Number of the first occurrence.
    pub first: u32,
    /// Number of occurrences.
    pub occurrences: u32,
    /// Number of tasks of each step.
    pub steps: Vec<u32>,
    /// Succeeded tasks.
    pub done: TaskSet,
    /// Numbers of failed runs, with the tasks that have a failed run of this number.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<(u64, TaskSet)>,
    /// State of each task, in place of `done` and `failed` if these are too large.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tallies: Option<Tallies>,
}

impl TaskWindow {
    /// Adds a task with the numbers of its failed runs, which are of no interest once it has
    /// succeeded.
    pub(super) fn add(&mut self, number: u32, done: bool, failures: &[u64]) {
        if done {
            return self.done.insert(number);
        }
        for run in failures {
            match self.failed.iter_mut().find(|(known, _)| known == run) {
                Some((_, tasks)) => tasks.insert(number),
                None => {
                    let tasks = [number].into_iter().collect();
                    self.failed.push((*run, tasks));
                }
            }
        }
    }

    /// Gives up the numbers of failed runs if there is no room for them.
    pub(super) fn shrink(&mut self) {
        if super::row_bytes(self) <= MAX_NUMBERED_BYTES {
            return;
        }
        let mut tasks = vec![Some(0); self.task_count()];
        for number in self.done.iter() {
            if let Some(task) = tasks.get_mut(number as usize) {
                *task = None;
            }
        }
        let failed = self.failed.iter().flat_map(|(_, tasks)| tasks.iter());
        for number in failed {
            if let Some(Some(count)) = tasks.get_mut(number as usize) {
                *count += 1;
            }
        }
        self.tallies = Some(Tallies::new(&tasks));
        (self.done, self.failed) = Default::default();
    }

    /// Returns the succeeded tasks as (occurrence, step, index).
    pub fn done_tasks(&self) -> Vec<(u32, u32, u32)> {
        let counted = self.counted_tasks();
        let counted = (0..).zip(counted).filter(|(_, task)| task.is_none());
        let numbers = self.done.iter().chain(counted.map(|(number, _)| number));
        self.locate(numbers)
    }

    /// Returns the failed tasks as (occurrence, step, index, numbers of the failed runs). Numbers
    /// that are not stored are replaced by the lowest ones.
    pub fn failed_tasks(&self) -> Vec<(u32, u32, u32, Vec<u64>)> {
        let mut failures: std::collections::BTreeMap<u32, Vec<u64>> = Default::default();
        for (run, tasks) in &self.failed {
            for number in tasks.iter().take(MAX_READ_TASKS) {
                failures.entry(number).or_default().push(*run);
            }
        }
        for (number, count) in (0..).zip(self.counted_tasks()) {
            if let Some(count) = count.filter(|count| *count > 0) {
                failures.insert(number, (1..=count.min(u64::from(u16::MAX))).collect());
            }
        }
        let tasks = self.locate(failures.keys().copied());
        let rows = tasks.into_iter().zip(failures.into_values());
        rows.map(|((occurrence, step, index), runs)| (occurrence, step, index, runs))
            .collect()
    }

    /// Returns the occurrences of which all tasks have succeeded.
    pub fn complete_occurrences(&self) -> Vec<u32> {
        let tasks_each = self.tasks_each();
        let mut counts = std::collections::BTreeMap::<u32, u64>::new();
        for (occurrence, ..) in self.done_tasks() {
            *counts.entry(occurrence).or_default() += 1;
        }
        counts.retain(|_, count| *count == tasks_each);
        counts.into_keys().collect()
    }

    fn tasks_each(&self) -> u64 {
        self.steps.iter().map(|count| u64::from(*count)).sum()
    }

    fn task_count(&self) -> usize {
        let count = self.tasks_each().saturating_mul(self.occurrences.into());
        usize::try_from(count)
            .unwrap_or(usize::MAX)
            .min(MAX_READ_TASKS)
    }

    fn counted_tasks(&self) -> Vec<Option<u64>> {
        let tallies = self.tallies.as_ref();
        tallies.map_or_else(Vec::new, |tallies| tallies.tasks(self.task_count()))
    }

    /// Returns occurrence, step and index of tasks in ascending order of their numbers.
    fn locate(&self, numbers: impl Iterator<Item = u32>) -> Vec<(u32, u32, u32)> {
        let tasks_each = self.tasks_each().max(1);
        let mut ends = Vec::with_capacity(self.steps.len());
        let mut end = 0u64;
        for count in &self.steps {
            end += u64::from(*count);
            ends.push(end);
        }
        let locate = |number: u32| {
            let (cycle, rest) = (
                u64::from(number) / tasks_each,
                u64::from(number) % tasks_each,
            );
            let step = ends.partition_point(|end| *end <= rest);
            let begin = step.checked_sub(1).map_or(0, |previous| ends[previous]);
            let occurrence = u32::try_from(cycle).ok()?.checked_add(self.first)?;
            let index = u32::try_from(rest - begin).ok()?;
            Some((occurrence, u32::try_from(step).ok()?, index))
        };
        let numbers = numbers.take_while(|number| (*number as usize) < self.task_count());
        numbers.filter_map(locate).collect()
    }
}
