use super::Stage;
use crate::batch::Spec;

/// One occurrence of the steps of a job.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) number: u32,
    pub(super) stages: Vec<Stage>,
}

impl Occurrence {
    pub(super) fn new(number: u32, spec: &Spec) -> Self {
        let stages = spec.steps.iter().map(Stage::new).collect();
        Self { number, stages }
    }

    /// Returns whether all tasks are done.
    pub(super) fn is_complete(&self) -> bool {
        self.stages.iter().all(|stage| stage.unfinished == 0)
    }

    /// Counts the tasks that are not done.
    pub(super) fn unfinished_tasks(&self) -> usize {
        self.stages.iter().map(|stage| stage.unfinished).sum()
    }
}
