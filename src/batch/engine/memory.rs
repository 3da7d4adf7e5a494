use std::sync::Arc;

use super::{Engine, Job, Stage, Task};
use crate::batch::{JobMemory, Spec, Step};

impl Engine {
    /// Returns the memory that a leader needs for a job in progress.
    ///
    /// ```
    /// use coriandernotch::batch::{Engine, Spec, Step};
    ///
    /// let spec = |count| Spec { steps: vec![Step { count, ..Step::default() }], ..Spec::default() };
    /// assert!(Engine::memory_of(&spec(1)).small < 4 << 10);
    /// assert!(Engine::memory_of(&spec(100_000)).large > 10 << 20);
    /// ```
    pub fn memory_of(spec: &Spec) -> JobMemory {
        let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.count)).sum();
        // Occurrences may overlap, up to this many tasks.
        let tasks = tasks.saturating_mul(spec.occurrence_count().into());
        let tasks = tasks.min(Spec::MAX_TASKS) as usize;
        let steps: usize = spec.steps.iter().map(step_memory).sum();
        let fixed = size_of::<Job>() + spec.payload.len();
        JobMemory::of(fixed + steps + tasks * size_of::<Task>())
    }

    /// Returns the memory that the jobs in progress need.
    pub fn job_memory(&self) -> JobMemory {
        self.job_memory
    }
}

fn step_memory(step: &Step) -> usize {
    let texts = [&step.label, &step.data_rack, &step.image];
    let texts: usize = texts
        .into_iter()
        .flatten()
        .map(|text: &Arc<str>| text.len())
        .sum();
    size_of::<Step>() + size_of::<Stage>() + step.after.len() * size_of::<u32>() + texts
}
