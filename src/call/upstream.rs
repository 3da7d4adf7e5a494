use tokio::sync::oneshot;

use super::{Budget, Grant, Order};
use crate::admit::{Queues, Refusal};
use crate::collections::Map;
use crate::fleet::WorkspaceId;
use crate::route::Targets;

/// Channel on which the task of a waiting call gets its grant or refusal.
pub(super) type Responder = oneshot::Sender<Result<Grant, Refusal>>;

/// A waiting call and the channel to its task.
pub(super) type Call = (Order, Responder);

/// Queues and targets of one service, guarded together by one lock.
#[derive(Debug)]
pub struct Upstream {
    pub(super) queues: Queues<Call>,
    pub(super) targets: Targets,
    /// Running calls per workspace that this entry instance dispatched.
    pub(super) running: Vec<u32>,
    /// Running calls per workspace that the other entry instances reported.
    pub(super) reported: Map<WorkspaceId, u32>,
    pub(super) retry_budget: Budget,
}

impl Upstream {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            queues: Queues::default(),
            targets: Targets::new(slots),
            running: Vec::new(),
            reported: Map::default(),
            retry_budget: Budget::default(),
        }
    }

    pub(super) fn count_start(&mut self, workspace: WorkspaceId) {
        if self.running.len() <= workspace.index() {
            self.running.resize(workspace.index() + 1, 0);
        }
        self.running[workspace.index()] += 1;
    }

    pub(super) fn count_end(&mut self, workspace: WorkspaceId) {
        if let Some(count) = self.running.get_mut(workspace.index()) {
            *count = count.saturating_sub(1);
        }
    }
}
