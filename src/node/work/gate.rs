use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use super::MAX_LEASE;
use crate::clock::Instant;
use crate::limit::Permit;
use crate::node::Shared;

/// Decides whether the clients of the workers may send starts and renewals. They check it
/// immediately before each request.
pub(super) struct Gate {
    pub(super) shared: Arc<Shared>,
    pub(super) queue: Arc<str>,
    /// Newest fencing token of this holder.
    token: AtomicU64,
    /// End of the lease of the queue on the clock of this instance, in nanoseconds.
    open_until_ns: AtomicU64,
    /// Whether renewals are refused too.
    stopped: AtomicBool,
}

impl Gate {
    pub(super) fn new(shared: Arc<Shared>, queue: Arc<str>) -> Self {
        Self {
            shared,
            queue,
            token: AtomicU64::new(0),
            open_until_ns: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        }
    }

    /// Allows starts with the fencing token `token` until the time `until`.
    pub(super) fn open(&self, token: u64, until: Instant) {
        self.token.store(token, Ordering::Release);
        self.open_until_ns
            .store(until.as_nanos(), Ordering::Release);
    }

    /// Refuses all starts from now on.
    pub(super) fn close(&self) {
        self.open_until_ns.store(0, Ordering::Release);
    }

    /// Refuses all starts and renewals from now on.
    pub(super) fn stop(&self) {
        self.close();
        self.stopped.store(true, Ordering::Release);
    }

    /// Returns the newest fencing token of this holder. Runs are renewed with it even after the
    /// lease of the queue has lapsed: a worker rejects it once a later holder has sent it a newer
    /// token.
    pub(super) fn token(&self) -> u64 {
        self.token.load(Ordering::Acquire)
    }

    /// Returns whether the lease of the queue is valid, so that starts are allowed.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        now.as_nanos() < self.open_until_ns.load(Ordering::Acquire)
    }

    /// Returns the lease for a run of `workspace` that starts in `data_centre` now, or `None` if it
    /// may not start.
    pub(super) fn may_start(
        &self,
        workspace: &str,
        data_centre: &str,
        permit: Permit,
        now: Instant,
    ) -> Option<Duration> {
        if !self.is_open(now) {
            return None;
        }
        let enforced = self.shared.control.dispatcher().enforced();
        let allowed = enforced.iter().all(|snapshot| {
            let data_centre = snapshot.data_centre_id(data_centre);
            let queue = snapshot.queue_id(&self.queue);
            let queue = queue.and_then(|id| snapshot.queue(id));
            let workspace = snapshot
                .workspace_id(workspace)
                .and_then(|id| snapshot.workspace(id));
            data_centre.is_some_and(|id| snapshot.is_in(id))
                && workspace.is_some_and(|workspace| {
                    queue.is_some_and(|q| {
                        q.workspaces.is_empty() || q.workspaces.contains(&workspace.name)
                    })
                })
        });
        (allowed && !enforced.is_empty())
            .then(|| self.may_renew(permit, now))
            .flatten()
    }

    /// Returns the lease with which a run may be renewed, or `None` if its permit is not valid.
    ///
    /// Stale configuration also refuses renewals: when peers have lost an instance, they count its
    /// permits as free after the longest run time, so its runs must have stopped by then.
    pub(super) fn may_renew(&self, permit: Permit, now: Instant) -> Option<Duration> {
        let dispatcher = self.shared.control.dispatcher();
        if !dispatcher.is_fresh(now) || self.stopped.load(Ordering::Acquire) {
            return None;
        }
        let valid_until = dispatcher.with_ledger(|ledger| ledger.check(permit, now));
        let remaining = valid_until.ok()?.since(now);
        // Half of the remaining time is left for requests that arrive late.
        Some(MAX_LEASE.min(remaining / 2)).filter(|lease| !lease.is_zero())
    }
}
