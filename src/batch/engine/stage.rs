use std::sync::Arc;

use super::Task;
use super::denial::Denial;
use crate::batch::{JobKey, Step, WorkerKey};
use crate::clock::Instant;
use crate::collections::Map;

/// Identifies a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct StageKey {
    pub(super) job: JobKey,
    pub(super) occurrence: u32,
    pub(super) step: u32,
}

/// A step of one occurrence that is in progress.
#[derive(Clone, Debug)]
pub(super) struct Stage {
    pub(super) tasks: Vec<Task>,
    /// Number of unfinished tasks.
    pub(super) unfinished: usize,
    /// Whether all steps that it depends on are complete.
    pub(super) ready: bool,
    /// When the last of these steps ended under this leader, in milliseconds since 1970. Without it,
    /// the stage counts as ready since its job arrived or its occurrence was due.
    pub(super) ready_ms: Option<u64>,
    /// Ticket of each worker that may run the step, and when it expires or has expired.
    pub(super) tickets: Map<WorkerKey, (Arc<str>, Instant)>,
    /// Workers that may not run the step, by the last answer about them.
    pub(super) denials: Map<WorkerKey, Denial>,
    /// When the advice service was last asked, and from when it may be asked again.
    pub(super) asked_at: Option<Instant>,
    pub(super) ask_from: Instant,
}

impl Stage {
    pub(super) fn new(step: &Step) -> Self {
        Self {
            tasks: vec![Task::default(); step.count as usize],
            unfinished: step.count as usize,
            ready: false,
            ready_ms: None,
            tickets: Map::default(),
            denials: Map::default(),
            asked_at: None,
            ask_from: Instant::default(),
        }
    }

    /// Records which workers may run the step, with their tickets, and which may not.
    pub(super) fn record_advice(
        &mut self,
        tickets: Vec<(WorkerKey, (Arc<str>, Instant))>,
        denials: Vec<(WorkerKey, Denial)>,
    ) {
        for (key, ticket) in tickets {
            self.denials.remove(&key);
            self.tickets.insert(key, ticket);
        }
        for (key, denial) in denials {
            self.tickets.remove(&key);
            self.denials.insert(key, denial);
        }
    }
}
