use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::oneshot;

use super::place::Place;
use super::{Dispatcher, allow, lock};
use crate::admit::{Refusal, Ticket, Waiting};
use crate::call::lane::{Call, Wake};
use crate::call::{Grant, Lane, Order};
use crate::clock::Instant;
use crate::fleet::Snapshot;

/// Admission: from an order to a grant.
impl Dispatcher {
    /// Waits for a slot and a permit.
    ///
    /// # Errors
    ///
    /// The call was not run, for the given reason. Dropping the future also means not run.
    pub async fn admit(self: &Arc<Self>, order: Order, now: Instant) -> Result<Grant, Refusal> {
        if self.draining.load(Ordering::Acquire) {
            return Err(Refusal::ShuttingDown);
        }
        if !self.is_fresh(now) {
            return Err(Refusal::Stale);
        }
        let enforced = self.enforced();
        allow(&order, &enforced)?;
        let lane = self.lane(order.service).ok_or(Refusal::NoTarget)?;
        let (ticket, answer) = {
            let mut guard = lock(&lane);
            guard.retries.earn();
            if guard.queues.is_empty()
                && let Some(grant) = self.grant(&mut guard, order, &enforced, now)
            {
                return Ok(grant);
            }
            let place = self.enqueue(&mut guard, order, &enforced, now)?;
            // Counted under the lock, so that whoever frees a slot next sees the call.
            self.waiting.fetch_add(1, Ordering::AcqRel);
            place
        };
        if !self.with_ledger(|ledger| ledger.can_take(order.team, now)) {
            self.permit_wanted.notify_one();
        }
        let place = Place {
            dispatcher: self,
            lane: &lane,
            ticket,
        };
        let left = order.deadline.since(now);
        let answer = match tokio::time::timeout(left, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Refusal::ShuttingDown),
            // A grant that was sent as the timer fired is given back by its drop.
            Err(_) => Err(Refusal::DeadlinePassed),
        };
        drop(place);
        answer
    }

    fn enqueue(
        &self,
        lane: &mut Lane,
        order: Order,
        enforced: &[Arc<Snapshot>],
        now: Instant,
    ) -> Result<(Ticket, oneshot::Receiver<Result<Grant, Refusal>>), Refusal> {
        let capacity = lane.targets.capacity(now, enforced);
        if capacity == 0 {
            return Err(Refusal::NoTarget);
        }
        let current = enforced.first().ok_or(Refusal::Stale)?;
        if current.team(order.team).is_none_or(|t| t.limit == 0) {
            return Err(Refusal::LimitReached);
        }
        let limit = current.service(order.service).map_or(0, |s| s.queue_limit);
        let own: u32 = lane.running.iter().sum();
        let slots = (own + lane.targets.free(now, enforced)).clamp(1, capacity);
        let (wake, answer) = oneshot::channel();
        lane.queues
            .push(order.team, order.deadline, now, slots, limit, (order, wake))
            .map(|ticket| (ticket, answer))
            .map_err(|(refusal, _)| refusal)
    }

    /// Gives waiting calls of all services what is free.
    pub fn pump(self: &Arc<Self>, now: Instant) {
        if self.waiting() == 0 {
            return;
        }
        let enforced = self.enforced();
        let fresh = self.is_fresh(now);
        for (_, lane) in self.lanes() {
            let answers = self.pump_lane(&mut lock(&lane), &enforced, fresh, now);
            // Answers go out without the lock, because a dropped grant takes it again.
            for (wake, answer) in answers {
                self.waiting.fetch_sub(1, Ordering::AcqRel);
                drop(wake.send(answer));
            }
        }
    }

    fn pump_lane(
        self: &Arc<Self>,
        lane: &mut Lane,
        enforced: &[Arc<Snapshot>],
        fresh: bool,
        now: Instant,
    ) -> Vec<(Wake, Result<Grant, Refusal>)> {
        let mut answers = Vec::new();
        loop {
            let (next, late) = self.next(lane, enforced, fresh, now);
            answers.extend(
                late.into_iter()
                    .map(|w| (w.value.1, Err(Refusal::DeadlinePassed))),
            );
            let Some(waiting) = next else { break };
            let (order, wake) = waiting.value;
            let answer = match allow(&order, enforced) {
                Err(refusal) => Err(refusal),
                Ok(()) => match self.grant(lane, order, enforced, now) {
                    Some(grant) => Ok(grant),
                    None => Err(Refusal::LimitReached),
                },
            };
            answers.push((wake, answer));
        }
        answers
    }

    /// Takes the next waiting call when a slot is free and the call's team has a permit.
    fn next(
        &self,
        lane: &mut Lane,
        enforced: &[Arc<Snapshot>],
        fresh: bool,
        now: Instant,
    ) -> (Option<Waiting<Call>>, Vec<Waiting<Call>>) {
        let open = fresh && lane.targets.free(now, enforced) > 0;
        let ledger = self.ledger.lock().expect("ledger lock");
        let current = enforced.first();
        let Lane {
            queues,
            running,
            reported,
            ..
        } = lane;
        queues.next(now, |team| {
            if !open || !ledger.can_take(team, now) {
                return None;
            }
            let share = current?.team(team).map_or(1, |t| t.share.max(1));
            let own = running.get(team.index()).copied().unwrap_or(0);
            let all = own + reported.get(&team).copied().unwrap_or(0);
            Some(f64::from(all) / f64::from(share))
        })
    }

    fn grant(
        self: &Arc<Self>,
        lane: &mut Lane,
        order: Order,
        enforced: &[Arc<Snapshot>],
        now: Instant,
    ) -> Option<Grant> {
        let near = *self.near.read().expect("near lock");
        let permit = self
            .with_ledger(|ledger| ledger.take(order.team, now))
            .ok()?;
        let Some(target) = lane.targets.choose(now, near, enforced, &[]) else {
            self.with_ledger(|ledger| ledger.give(permit));
            return None;
        };
        lane.count_start(order.team);
        self.running.fetch_add(1, Ordering::AcqRel);
        Some(Grant {
            dispatcher: self.clone(),
            order,
            permit,
            target,
            address: lane.targets.get(target)?.address,
            granted: now,
            tried: Vec::new(),
            ends: None,
            finished: false,
        })
    }

    /// Stops admission and refuses all waiting calls.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        for (_, lane) in self.lanes() {
            let waiting = lock(&lane).queues.drain();
            for call in waiting {
                self.waiting.fetch_sub(1, Ordering::AcqRel);
                drop(call.value.1.send(Err(Refusal::ShuttingDown)));
            }
        }
    }
}
