use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::holder::Holder;
use super::{LEASE_GRACE, MAX_LEASE};
use crate::limit::Permit;
use crate::node::Shared;

/// Permits of the runs.
impl Holder {
    /// Stores the permit of the current run of a job.
    pub(super) fn store_permit(&mut self, id: &Arc<str>, permit: Permit) {
        if let Some(entry) = self.entries.get_mut(id) {
            debug_assert!(entry.permit.is_none(), "a run holds at most one permit");
            entry.permit = Some(permit);
            let count = &self.gate.shared.job_permits;
            count.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Releases the permit of a job whose run has provably ended or was never sent.
    pub(super) fn release_permit(&mut self, id: &Arc<str>) {
        let permit = self.entries.get_mut(id).and_then(|e| e.permit.take());
        if let Some(permit) = permit {
            release(&self.gate.shared, permit);
        }
    }

    /// Stops serving the queue. Runs may go on until their leases end, so the permits are released
    /// only then.
    pub(super) fn leave(&mut self) {
        self.gate.stop();
        self.workers.clear();
        let shared = self.gate.shared.clone();
        let permits: Vec<Permit> = self
            .entries
            .values_mut()
            .filter_map(|e| e.permit.take())
            .collect();
        if permits.is_empty() {
            return;
        }
        tokio::spawn(async move {
            // A request in flight when the client of a worker ends may still renew a lease.
            tokio::time::sleep(MAX_LEASE + LEASE_GRACE * 4).await;
            permits.into_iter().for_each(|p| release(&shared, p));
        });
    }
}

fn release(shared: &Shared, permit: Permit) {
    let dispatcher = shared.control.dispatcher();
    dispatcher.with_ledger(|ledger| ledger.release(permit));
    dispatcher.dispatch_waiting(crate::clock::now());
    shared.job_permits.fetch_sub(1, Ordering::AcqRel);
}
