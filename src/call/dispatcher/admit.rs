use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::oneshot;

use super::authorize::authorize;
use super::waiter::Waiter;
use super::{Dispatcher, lock};
use crate::admit::{Refusal, Ticket, Waiting};
use crate::call::upstream::{Call, Responder};
use crate::call::{Grant, Order, Upstream};
use crate::clock::Instant;
use crate::fleet::Snapshot;
use crate::limit::{Denial, Permit};

/// The channel to the task of a waiting call, and the grant or refusal to send.
type Answer = (Responder, Result<Grant, Refusal>);

/// The call taken from the queue, and the permit taken for it.
type Ready = (Waiting<Call>, Result<Permit, Denial>);

/// Admission of calls up to their grant.
impl Dispatcher {
    /// Waits until a slot and a permit are free, and takes them.
    ///
    /// # Errors
    ///
    /// The call was not run, for the given reason. A call whose future is dropped was not run
    /// either.
    pub async fn admit(self: &Arc<Self>, order: Order, now: Instant) -> Result<Grant, Refusal> {
        if self.draining.load(Ordering::Acquire) {
            return Err(Refusal::ShuttingDown);
        }
        if !self.is_fresh(now) {
            return Err(Refusal::Stale);
        }
        let enforced = self.enforced();
        authorize(&order, &enforced)?;
        let upstream = self.upstream(order.service).ok_or(Refusal::NoTarget)?;
        let (ticket, answer, answers) = {
            let mut guard = lock(&upstream);
            // Checked again under the lock: after a drain has emptied this queue, no call may be
            // added to it.
            if self.draining.load(Ordering::Acquire) {
                return Err(Refusal::ShuttingDown);
            }
            guard.retry_budget.deposit();
            if guard.queues.is_empty()
                && let Some(grant) = self.try_grant(&mut guard, order, &enforced, now)
            {
                return Ok(grant);
            }
            let (ticket, answer) = self.enqueue(&mut guard, order, &enforced, now)?;
            // Counted under the lock, so that the next release of a slot finds the call.
            self.waiting.fetch_add(1, Ordering::AcqRel);
            // A slot may be free while the queue holds only calls of workspaces that wait for a
            // permit.
            let answers = self.dispatch_queued(&mut guard, &enforced, true, now);
            (ticket, answer, answers)
        };
        self.deliver(answers);
        if !self.with_ledger(|ledger| ledger.can_take(order.workspace, now)) {
            self.permit_wanted.notify_one();
        }
        let waiter = Waiter {
            dispatcher: self,
            upstream: &upstream,
            ticket,
        };
        let remaining = order.deadline.since(now);
        let answer = match tokio::time::timeout(remaining, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Refusal::ShuttingDown),
            // When a grant arrives just as the timer fires, dropping it releases its slot and
            // permit.
            Err(_) => Err(Refusal::DeadlinePassed),
        };
        drop(waiter);
        answer
    }

    fn enqueue(
        &self,
        upstream: &mut Upstream,
        order: Order,
        enforced: &[Arc<Snapshot>],
        now: Instant,
    ) -> Result<(Ticket, oneshot::Receiver<Result<Grant, Refusal>>), Refusal> {
        let capacity = upstream.targets.capacity(now, enforced);
        if capacity == 0 {
            return Err(Refusal::NoTarget);
        }
        let current = enforced.first().ok_or(Refusal::Stale)?;
        if current
            .workspace(order.workspace)
            .is_none_or(|w| w.limit == 0)
        {
            return Err(Refusal::LimitReached);
        }
        let limit = current.service(order.service).map_or(0, |s| s.queue_limit);
        let running_here: u32 = upstream.running.iter().sum();
        let slots = (running_here + upstream.targets.free_slots(now, enforced)).clamp(1, capacity);
        let (responder, answer) = oneshot::channel();
        upstream
            .queues
            .push(
                order.workspace,
                order.deadline,
                now,
                slots,
                limit,
                (order, responder),
            )
            .map(|ticket| (ticket, answer))
            .map_err(|(refusal, _)| refusal)
    }

    /// Grants free slots and permits to the waiting calls of all services.
    pub fn dispatch_waiting(self: &Arc<Self>, now: Instant) {
        if self.waiting() == 0 {
            return;
        }
        let enforced = self.enforced();
        let fresh = self.is_fresh(now);
        for (_, upstream) in self.upstreams() {
            let answers = self.dispatch_queued(&mut lock(&upstream), &enforced, fresh, now);
            self.deliver(answers);
        }
    }

    /// Delivers answers to waiting calls. The caller must not hold the lock of an upstream:
    /// dropping an undeliverable grant takes that lock.
    fn deliver(&self, answers: Vec<Answer>) {
        for (responder, answer) in answers {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            drop(responder.send(answer));
        }
    }

    /// Takes the waiting calls of one service that have expired or can start, with their answers.
    fn dispatch_queued(
        self: &Arc<Self>,
        upstream: &mut Upstream,
        enforced: &[Arc<Snapshot>],
        fresh: bool,
        now: Instant,
    ) -> Vec<Answer> {
        let mut answers = Vec::new();
        loop {
            let (next, expired) = self.take_next(upstream, enforced, fresh, now);
            answers.extend(
                expired
                    .into_iter()
                    .map(|w| (w.value.1, Err(Refusal::DeadlinePassed))),
            );
            let Some((waiting, permit)) = next else {
                break;
            };
            let (order, responder) = waiting.value;
            let answer = match (permit, authorize(&order, enforced)) {
                (Ok(permit), Ok(())) => self.assign_target(upstream, order, permit, enforced, now),
                (Ok(permit), Err(refusal)) => {
                    self.with_ledger(|ledger| ledger.release(permit));
                    Err(refusal)
                }
                (Err(_), _) => Err(Refusal::LimitReached),
            };
            answers.push((responder, answer));
        }
        answers
    }

    /// Takes the next waiting call and a permit for it, when a slot is free and its workspace has a
    /// free permit; also takes all calls that have expired.
    ///
    /// The ledger stays locked throughout, so that another service cannot take the permit between
    /// the check and the use.
    fn take_next(
        &self,
        upstream: &mut Upstream,
        enforced: &[Arc<Snapshot>],
        fresh: bool,
        now: Instant,
    ) -> (Option<Ready>, Vec<Waiting<Call>>) {
        let can_start = fresh && upstream.targets.free_slots(now, enforced) > 0;
        let mut ledger = self.ledger.lock().expect("ledger lock");
        let current = enforced.first();
        let Upstream {
            queues,
            running,
            reported,
            ..
        } = upstream;
        let (next, expired) = queues.next(now, |workspace| {
            if !can_start || !ledger.can_take(workspace, now) {
                return None;
            }
            let share = current?.workspace(workspace).map_or(1, |w| w.share.max(1));
            let running_here = running.get(workspace.index()).copied().unwrap_or(0);
            let total = running_here + reported.get(&workspace).copied().unwrap_or(0);
            Some(f64::from(total) / f64::from(share))
        });
        let next = next.map(|call| {
            let permit = ledger.take(call.workspace, now);
            (call, permit)
        });
        (next, expired)
    }

    fn try_grant(
        self: &Arc<Self>,
        upstream: &mut Upstream,
        order: Order,
        enforced: &[Arc<Snapshot>],
        now: Instant,
    ) -> Option<Grant> {
        let permit = self.with_ledger(|ledger| ledger.take(order.workspace, now));
        self.assign_target(upstream, order, permit.ok()?, enforced, now)
            .ok()
    }

    /// Chooses a target for a call that has a permit; releases the permit when no target is free.
    fn assign_target(
        self: &Arc<Self>,
        upstream: &mut Upstream,
        order: Order,
        permit: Permit,
        enforced: &[Arc<Snapshot>],
        now: Instant,
    ) -> Result<Grant, Refusal> {
        let local = *self
            .local_data_centre
            .read()
            .expect("local data centre lock");
        let target = upstream.targets.choose(now, local, enforced, &[]);
        let found = target.and_then(|id| Some((id, upstream.targets.get(id)?.address)));
        let Some((target, address)) = found else {
            self.with_ledger(|ledger| ledger.release(permit));
            return Err(Refusal::NoTarget);
        };
        upstream.count_start(order.workspace);
        self.running.fetch_add(1, Ordering::AcqRel);
        Ok(Grant {
            dispatcher: self.clone(),
            order,
            permit,
            target,
            address,
            granted: now,
            tried: Vec::new(),
            run_deadline: None,
            finished: false,
        })
    }

    /// Stops admission and refuses all waiting calls.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        for (_, upstream) in self.upstreams() {
            let waiting = lock(&upstream).queues.drain();
            for call in waiting {
                self.waiting.fetch_sub(1, Ordering::AcqRel);
                drop(call.value.1.send(Err(Refusal::ShuttingDown)));
            }
        }
    }
}
