use super::Task;
use crate::batch::{JobKey, Step, WorkerKey};
use crate::clock::Instant;
use crate::collections::Map;

/// Place of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct StageKey {
    pub(super) job: JobKey,
    pub(super) occurrence: u32,
    pub(super) step: u32,
}

/// A step of one occurrence while it is in progress.
#[derive(Clone, Debug)]
pub(super) struct Stage {
    pub(super) tasks: Vec<Task>,
    /// Tasks that are not done.
    pub(super) left: usize,
    /// Whether all earlier steps that it needs are complete.
    pub(super) open: bool,
    /// Tickets of the workers that may run it, and until when they hold.
    pub(super) tickets: Map<WorkerKey, (std::sync::Arc<str>, Instant)>,
    /// When advice was last asked for.
    pub(super) asked: Option<Instant>,
}

impl Stage {
    pub(super) fn new(step: &Step) -> Self {
        Self {
            tasks: vec![Task::default(); step.count as usize],
            left: step.count as usize,
            open: false,
            tickets: Map::default(),
            asked: None,
        }
    }
}
