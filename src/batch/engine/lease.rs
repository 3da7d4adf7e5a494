//! Leases of workers: within one, their runs go on without contact.

use std::time::Duration;

use super::{Engine, Worker};
use crate::batch::{Grant, Renewal, RunKey, WorkerKey};
use crate::clock::Instant;

/// Fraction of the longest lease that is granted. 4.2 s of 6 s cover a takeover, which takes 2.3 s
/// from the last renewal, and a poll that was answered a second before.
const LEASE_FRACTION: f64 = 0.7;

impl Engine {
    /// Returns the lease granted by an order. It is shorter than workers allow, so that the work of
    /// an unreachable worker restarts elsewhere sooner, and longer than a takeover takes.
    pub(super) fn lease(&self) -> Duration {
        self.tuning.lease.mul_f64(LEASE_FRACTION)
    }

    /// Returns the longest time from an order until the lease granted by it has expired.
    pub(super) fn lease_expiry(&self) -> Duration {
        expiry_of_lease(self.lease())
    }

    /// Returns the longest time from an order of another leader until the lease granted by it has
    /// expired; other leaders may grant longer leases.
    pub(super) fn longest_lease_expiry(&self) -> Duration {
        expiry_of_lease(self.tuning.lease)
    }

    /// Grants a lease from `now` and returns its deadline on the worker's clock. Returns `None`
    /// while that clock is unknown, or while the worker does not answer or the stored list shows it
    /// as silent: its runs are given up when the leases granted before have expired.
    ///
    /// The order is sent on a connection that was opened at `opened_at`. If that was after the last
    /// answer to a poll, a process with another clock may have taken the place of the worker. It
    /// shortens the lease only to the longest one. A worker that listed nothing was not polled since.
    pub fn grant_lease(&mut self, key: WorkerKey, opened_at: Instant, now: Instant) -> Option<u64> {
        let expiry = now + self.lease_expiry();
        let lease_ms = u64::try_from(self.lease().as_millis()).unwrap_or(u64::MAX / 2);
        if self.is_reported_silent(self.workers.get(key)?) {
            return None;
        }
        let worker = self.workers.get_mut(key).filter(|w| !w.unreachable)?;
        let clock_ms = worker.clock_ms(now)?;
        worker.lease_until = worker.lease_until.max(expiry);
        let lists_nothing = !worker.lists_runs && !worker.lists_ends;
        if lists_nothing || !worker.is_reached_since(opened_at) {
            worker.unverified_grant = Some(now);
        }
        Some(clock_ms + lease_ms)
    }

    /// Grants a lease by the start order of a run on a connection that was opened at `opened_at`.
    ///
    /// The worker may carry out the order late. If another process with the same id then does, the
    /// lease ends that much later than assumed, so the connection must lead to the known process.
    pub fn grant_by_start(&mut self, key: RunKey, opened_at: Instant, now: Instant) -> Grant {
        let Some(run) = self.runs.get(key).filter(|_| self.may_launch(key, now)) else {
            return Grant::Denied;
        };
        let worker = run.worker;
        if !self.workers[worker].is_reached_since(opened_at) {
            return Grant::Unverified;
        }
        let deadline = self.grant_lease(worker, opened_at, now);
        deadline.map_or(Grant::Denied, Grant::Until)
    }

    /// Returns what a poll on a connection that was opened at `opened_at` renews and acknowledges.
    pub fn renewal(&mut self, key: WorkerKey, opened_at: Instant, now: Instant) -> Renewal {
        let deadline_ms = self.grant_lease(key, opened_at, now);
        let position = self.acknowledged(key, opened_at);
        let worker = self.workers.get_mut(key);
        let may_wait = worker.is_some_and(|worker| {
            worker.poll_sent_at = now;
            worker.is_reached_since(opened_at)
        });
        Renewal {
            deadline_ms,
            position,
            may_wait,
        }
    }

    /// Records that a worker lists a run of another leader, which may have granted the longest lease
    /// until just now.
    pub(super) fn expect_longest_lease(&mut self, key: WorkerKey, now: Instant) {
        let latest_expiry = now + self.longest_lease_expiry();
        let worker = &mut self.workers[key];
        worker.lease_until = worker.lease_until.max(latest_expiry);
    }

    /// Returns when all leases granted to a worker have expired.
    pub(super) fn last_lease_expiry(&self, worker: &Worker) -> Instant {
        let unverified = worker.unverified_grant;
        let longest = unverified.map(|at| at + self.longest_lease_expiry());
        worker.lease_until.max(longest.unwrap_or_default())
    }
}

/// Returns the longest time until a lease has expired. The worker's clock may be slow by 2%; the
/// rest covers the transmission of the order.
fn expiry_of_lease(lease: Duration) -> Duration {
    lease.mul_f64(1.025) + Duration::from_millis(300)
}
