//! Occurrences of scheduled jobs, and the steps that are ready to be placed.

use super::{Engine, Job, Occurrence, StageKey};
use crate::batch::{JobKey, Progress};

/// Unfinished tasks of a scheduled job at which its next occurrence waits. Billions of occurrences
/// can be due at once; each takes memory and time in every scheduling round.
const MAX_UNFINISHED_TASKS: usize = 1_000;

/// Number of occurrences of a job that a previous leader may have begun beyond the stored ones.
const MAX_INHERITED_OCCURRENCES: u32 = 10_000;

impl Engine {
    /// Creates the occurrences that have begun, and restores the stored progress of their tasks.
    pub(super) fn restore_progress(&mut self, key: JobKey, progress: &Progress) {
        let job = &mut self.jobs[key];
        let complete = progress.complete_occurrences();
        if job.record.spec.occurrences == 0 {
            job.occurrences.push(Occurrence::new(0, &job.record.spec));
            job.next_occurrence = 1;
        } else {
            let done = progress.done_tasks().map(|(occurrence, ..)| occurrence);
            let failed = progress.failed_tasks().map(|(occurrence, ..)| occurrence);
            let begun = done.chain(failed).chain(complete.last()).max();
            job.next_occurrence = begun.map_or(0, |last| last + 1);
            for number in (0..job.next_occurrence).filter(|n| !complete.contains(*n)) {
                job.occurrences
                    .push(Occurrence::new(number, &job.record.spec));
            }
        }
        for (number, step, index) in progress.done_tasks() {
            let stage = job.stage_mut(number, step);
            if let Some(stage) = stage
                && let Some(task) = stage.tasks.get_mut(index as usize)
                && !task.done
            {
                task.done = true;
                stage.unfinished -= 1;
            }
        }
        for (number, step, index, failures) in progress.failed_tasks() {
            let stage = job.stage_mut(number, step);
            if let Some(task) = stage.and_then(|s| s.tasks.get_mut(index as usize)) {
                task.failures = failures;
            }
        }
        if job.record.spec.occurrences > 0 {
            let newly_complete = job.occurrences.extract_if(.., |o| o.is_complete());
            let newly_complete = newly_complete.map(|o| o.number);
            job.complete_occurrences = complete.iter().chain(newly_complete).collect();
        }
        self.mark_ready_stages(key, None);
    }

    /// Begins the occurrences that are due, as far as their jobs may have further unfinished tasks.
    pub(super) fn begin_due_occurrences(&mut self, wall_ms: u64) {
        let is_due = |job: &Job| job.is_occurrence_due(wall_ms);
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, j)| is_due(j))
            .map(|(k, _)| k)
            .collect();
        self.submissions.remove_old(wall_ms);
        for key in keys {
            let job = &mut self.jobs[key];
            let mut unfinished = job.unfinished_tasks();
            while unfinished < MAX_UNFINISHED_TASKS
                && job.has_room_for_occurrence()
                && job.is_occurrence_due(wall_ms)
            {
                let occurrence = Occurrence::new(job.next_occurrence, &job.record.spec);
                unfinished += occurrence.unfinished_tasks();
                job.occurrences.push(occurrence);
                job.next_occurrence += 1;
            }
            self.mark_ready_stages(key, None);
        }
    }

    /// Begins the occurrences of a job up to one of which a worker lists a run. The previous leader
    /// began it, by a clock that may be ahead of the present one.
    pub(super) fn begin_occurrences_until(&mut self, key: JobKey, number: u32) {
        let job = &mut self.jobs[key];
        let is_possible = number < job.record.spec.occurrence_count()
            && number.saturating_sub(job.next_occurrence) < MAX_INHERITED_OCCURRENCES;
        if job.state.is_final() || !is_possible || number < job.next_occurrence {
            return;
        }
        for next in job.next_occurrence..=number {
            let occurrence = Occurrence::new(next, &job.record.spec);
            job.occurrences.push(occurrence);
        }
        job.next_occurrence = number + 1;
        self.mark_ready_stages(key, None);
    }

    /// Marks the stages as ready whose dependencies are complete, the last of them at `ready_ms` if
    /// that is known.
    pub(super) fn mark_ready_stages(&mut self, key: JobKey, ready_ms: Option<u64>) {
        let job = &mut self.jobs[key];
        for occurrence in &mut job.occurrences {
            let unfinished: Vec<usize> = occurrence.stages.iter().map(|s| s.unfinished).collect();
            for (position, stage) in occurrence.stages.iter_mut().enumerate() {
                let after = &job.record.spec.steps[position].after;
                let dependencies_complete = after.iter().all(|s| unfinished[*s as usize] == 0);
                if stage.ready || stage.unfinished == 0 || !dependencies_complete {
                    continue;
                }
                (stage.ready, stage.ready_ms) = (true, ready_ms);
                let step = u32::try_from(position).expect("the number of steps fits in a u32");
                let stage_key = StageKey {
                    job: key,
                    occurrence: occurrence.number,
                    step,
                };
                self.ready_stages
                    .entry(job.service.clone())
                    .or_default()
                    .push(stage_key);
            }
        }
    }
}
