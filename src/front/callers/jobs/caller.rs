use std::sync::Arc;

use hyper::StatusCode;

use crate::fleet::{Digest, Snapshot};
use crate::front::callers::reply::Reply;

/// Workspace that sent a request, known in all versions that may be in force.
pub(super) struct Caller {
    pub(super) workspace: Arc<str>,
    enforced: Arc<[Arc<Snapshot>]>,
}

impl Caller {
    pub(super) fn find(enforced: Arc<[Arc<Snapshot>]>, key: &Digest) -> Option<Self> {
        let current = enforced.first()?;
        let id = current.authenticate(key)?;
        let everywhere = enforced.iter().all(|s| s.authenticate(key) == Some(id));
        let workspace = current.workspace(id)?.name.clone();
        everywhere.then_some(Self {
            workspace,
            enforced,
        })
    }

    /// Refuses unknown queues, and queues of other workspaces.
    pub(super) fn check_queue(&self, queue: &str) -> Result<(), Reply> {
        for snapshot in self.enforced.iter() {
            let unknown = Reply::not_run(StatusCode::NOT_FOUND, "unknown queue");
            let id = snapshot.queue_id(queue).ok_or(unknown)?;
            let workspaces = &snapshot.queue(id).ok_or(unknown)?.workspaces;
            if !workspaces.is_empty() && !workspaces.contains(&self.workspace) {
                return Err(Reply::not_run(
                    StatusCode::FORBIDDEN,
                    "queue of other workspaces",
                ));
            }
        }
        Ok(())
    }
}
