use std::sync::Arc;

use hyper::StatusCode;

use crate::fleet::{Digest, Snapshot};
use crate::front::callers::reply::Reply;

/// Team that sent a request, known in all versions that may be in force.
pub(super) struct Caller {
    pub(super) team: Arc<str>,
    enforced: Arc<[Arc<Snapshot>]>,
}

impl Caller {
    pub(super) fn find(enforced: Arc<[Arc<Snapshot>]>, key: &Digest) -> Option<Self> {
        let current = enforced.first()?;
        let id = current.authenticate(key)?;
        let everywhere = enforced.iter().all(|s| s.authenticate(key) == Some(id));
        let team = current.team(id)?.name.clone();
        everywhere.then_some(Self { team, enforced })
    }

    /// Refuses unknown queues, and queues of other teams.
    pub(super) fn check_queue(&self, queue: &str) -> Result<(), Reply> {
        for snapshot in self.enforced.iter() {
            let unknown = Reply::not_run(StatusCode::NOT_FOUND, "unknown queue");
            let id = snapshot.queue_id(queue).ok_or(unknown)?;
            let teams = &snapshot.queue(id).ok_or(unknown)?.teams;
            if !teams.is_empty() && !teams.contains(&self.team) {
                return Err(Reply::not_run(
                    StatusCode::FORBIDDEN,
                    "queue of other teams",
                ));
            }
        }
        Ok(())
    }
}
