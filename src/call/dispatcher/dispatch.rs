use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::authorize::authorize;
use super::{Dispatcher, lock};
use crate::admit::Refusal;
use crate::call::{Completion, Grant};
use crate::clock::Instant;
use crate::event::Event;
use crate::fleet::ServiceId;
use crate::limit::Permit;
use crate::route::Verdict;

/// Dispatch of granted calls up to their end.
impl Dispatcher {
    /// Checks again every condition that may have changed since the grant.
    ///
    /// Returns the latest time at which the call can still run on the target.
    pub(in crate::call) fn recheck(&self, grant: &Grant, now: Instant) -> Result<Instant, Refusal> {
        if self.draining.load(Ordering::Acquire) {
            return Err(Refusal::ShuttingDown);
        }
        if !self.is_fresh(now) {
            return Err(Refusal::Stale);
        }
        if now >= grant.order.deadline {
            return Err(Refusal::DeadlinePassed);
        }
        let enforced = self.enforced();
        authorize(&grant.order, &enforced)?;
        let startable = self
            .with_targets(grant.order.service, |t| {
                t.may_start(grant.target, &enforced)
            })
            .unwrap_or(false);
        if !startable {
            return Err(Refusal::NoTarget);
        }
        let run_deadline = self.with_ledger(|ledger| ledger.check(grant.permit, now));
        run_deadline.map_err(|_| Refusal::LimitReached)
    }

    pub(in crate::call) fn retry(
        &self,
        grant: &mut Grant,
        verdict: Verdict,
        now: Instant,
    ) -> Result<(), Refusal> {
        let upstream = self
            .upstream(grant.order.service)
            .ok_or(Refusal::NoTarget)?;
        let enforced = self.enforced();
        let local = *self
            .local_data_centre
            .read()
            .expect("local data centre lock");
        let mut upstream = lock(&upstream);
        grant.tried.push(grant.target);
        let next = if now >= grant.order.deadline {
            Err(Refusal::DeadlinePassed)
        } else if upstream.retry_budget.try_withdraw() {
            let next = upstream.targets.choose(now, local, &enforced, &grant.tried);
            next.ok_or(Refusal::Unreachable)
        } else {
            Err(Refusal::Unreachable)
        };
        // The verdict is recorded even when there is no further target: if a whole pool is
        // unreachable, its targets must be ejected, otherwise each call would try them again.
        let ejected = match next {
            Ok(_) => upstream.targets.finish(grant.target, verdict, now),
            Err(_) => upstream.targets.record_verdict(grant.target, verdict, now),
        };
        if let Some(duration) = ejected {
            self.record_ejection(grant, verdict, duration, now);
        }
        let next = next?;
        grant.target = next;
        grant.address = upstream.targets.get(next).ok_or(Refusal::NoTarget)?.address;
        Ok(())
    }

    pub(in crate::call) fn finish(
        self: &Arc<Self>,
        grant: &Grant,
        verdict: Verdict,
        end: Completion,
        now: Instant,
    ) {
        if let Some(upstream) = self.upstream(grant.order.service) {
            let mut upstream = lock(&upstream);
            upstream.count_end(grant.order.workspace);
            if verdict == Verdict::Answered {
                upstream
                    .queues
                    .record_service_time(now.since(grant.granted));
            }
            if let Some(ejected) = upstream.targets.finish(grant.target, verdict, now) {
                self.record_ejection(grant, verdict, ejected, now);
            }
        }
        match end {
            Completion::Confirmed => self.with_ledger(|ledger| ledger.release(grant.permit)),
            Completion::Unconfirmed => {
                let release_at = grant.run_deadline.unwrap_or(now);
                self.delayed_releases
                    .lock()
                    .expect("delayed releases lock")
                    .push_back((release_at, grant.permit));
            }
        }
        self.running.fetch_sub(1, Ordering::AcqRel);
        self.dispatch_waiting(now);
    }

    fn record_ejection(&self, grant: &Grant, verdict: Verdict, duration: Duration, now: Instant) {
        let seconds = duration.as_secs();
        log::warn!(event = "target-ejected", peer:% = grant.address, verdict:% = verdict,
            seconds = seconds; "");
        let event = Event::Ejected {
            target: grant.address.to_string().into(),
            verdict: verdict.to_string().into(),
            seconds,
        };
        self.events.add(now, event);
    }

    pub(in crate::call) fn record_verdict(&self, grant: &Grant, verdict: Verdict, now: Instant) {
        if let Some(upstream) = self.upstream(grant.order.service)
            && let Some(ejected) =
                lock(&upstream)
                    .targets
                    .record_verdict(grant.target, verdict, now)
        {
            self.record_ejection(grant, verdict, ejected, now);
        }
    }

    /// Takes one retry from the retry budget of a service; returns false when none is left.
    pub fn spend_retry(&self, service: ServiceId) -> bool {
        self.upstream(service)
            .is_some_and(|upstream| lock(&upstream).retry_budget.try_withdraw())
    }

    /// Releases permits whose calls cannot be running any more, and refuses waiting calls that have
    /// expired.
    pub fn release_expired(self: &Arc<Self>, now: Instant) {
        let expired: Vec<Permit> = {
            let mut delayed_releases = self.delayed_releases.lock().expect("delayed releases lock");
            let expired = delayed_releases
                .iter()
                .filter(|(release_at, _)| *release_at <= now)
                .map(|(_, p)| *p)
                .collect();
            delayed_releases.retain(|(release_at, _)| *release_at > now);
            expired
        };
        self.with_ledger(|ledger| {
            expired
                .into_iter()
                .for_each(|permit| ledger.release(permit));
        });
        self.dispatch_waiting(now);
    }
}
