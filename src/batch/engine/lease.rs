//! Leases of workers: within one, their runs go on without contact.

use std::time::Duration;

use super::{Engine, Worker};
use crate::batch::WorkerKey;
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
    /// A worker that listed nothing was not polled since, so a process with another clock may have
    /// taken its place. That process shortens the lease only to the longest one.
    pub fn grant_lease(&mut self, key: WorkerKey, now: Instant) -> Option<u64> {
        let expiry = now + self.lease_expiry();
        let lease_ms = u64::try_from(self.lease().as_millis()).unwrap_or(u64::MAX / 2);
        if self.is_reported_silent(self.workers.get(key)?) {
            return None;
        }
        let worker = self.workers.get_mut(key).filter(|w| !w.unreachable)?;
        let clock_ms = worker.clock_ms(now)?;
        worker.lease_until = worker.lease_until.max(expiry);
        if !worker.lists_runs && !worker.lists_ends {
            worker.unverified_grant = Some(now);
        }
        Some(clock_ms + lease_ms)
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
