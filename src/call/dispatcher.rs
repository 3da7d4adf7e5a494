use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::lane::{Call, Wake};
use super::{End, Grant, Lane, Load, Order};
use crate::admit::{Refusal, Ticket, Waiting};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::{DataCentreId, ServiceId, Snapshot, TeamId};
use crate::limit::{Ledger, Permit};
use crate::platform::Instance;
use crate::pools::Roster;
use crate::route::{Targets, Verdict};

/// Longest run of a call before the first fleet document states it.
const DEFAULT_LONGEST_RUN: Duration = Duration::from_secs(30);

/// Gives out slots and permits to calls of one entry instance.
///
/// Locks are taken in the order lane, ledger; neither is held across an `.await`.
#[derive(Debug)]
pub struct Dispatcher {
    lanes: RwLock<Vec<Arc<Mutex<Lane>>>>,
    /// Waiting calls over all lanes, read without a lock on the way out of a call.
    waiting: AtomicUsize,
    running: AtomicUsize,
    ledger: Mutex<Ledger>,
    /// Permits whose work may still run, with the time at which it cannot any more.
    lingering: Mutex<VecDeque<(Instant, Permit)>>,
    enforced: RwLock<Arc<[Arc<Snapshot>]>>,
    /// End of the time for which the configuration is known to be current, in nanoseconds.
    fresh_until: AtomicU64,
    /// The platform's list as last read.
    listed: RwLock<Option<Arc<[Instance]>>>,
    /// Pools and phases as last read; empty before that.
    roster: RwLock<Arc<Roster>>,
    /// Version of the roster with which all targets are in step.
    assigned: AtomicU64,
    /// Held while targets are brought in step, so that an older roster never comes last.
    sync: Mutex<()>,
    draining: AtomicBool,
    /// Woken when a call waits for a permit.
    permit_wanted: Notify,
    near: RwLock<Option<DataCentreId>>,
}

impl Dispatcher {
    /// Makes a dispatcher without configuration, which refuses all calls.
    pub fn new(ledger: Ledger) -> Arc<Self> {
        Arc::new(Self {
            lanes: RwLock::default(),
            waiting: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            ledger: Mutex::new(ledger),
            lingering: Mutex::default(),
            enforced: RwLock::new(Arc::from([])),
            fresh_until: AtomicU64::new(0),
            listed: RwLock::new(None),
            roster: RwLock::default(),
            assigned: AtomicU64::new(0),
            sync: Mutex::default(),
            draining: AtomicBool::new(false),
            permit_wanted: Notify::new(),
            near: RwLock::new(None),
        })
    }

    /// Puts versions into force: the one in force first, then any whose result is pending.
    pub fn enforce(&self, versions: Arc<[Arc<Snapshot>]>, near: &str, now: Instant) {
        if let Some(current) = versions.first() {
            *self.near.write().expect("near lock") = current.data_centre_id(near);
            for (id, service) in current.services() {
                let lane = self.lane_or_new(id, service.slots);
                let mut lane = lock(&lane);
                lane.targets.set_slots(service.slots);
                lane.targets.apply(current, now);
            }
            self.sync_targets(current, now);
        }
        *self.enforced.write().expect("enforced lock") = versions;
    }

    /// Returns the versions that are enforced together.
    pub fn enforced(&self) -> Arc<[Arc<Snapshot>]> {
        self.enforced.read().expect("enforced lock").clone()
    }

    /// Sets the end of the time for which the configuration is known to be current.
    pub fn set_fresh_until(&self, until: Instant) {
        self.fresh_until.store(until.as_nanos(), Ordering::Release);
    }

    /// Returns whether the configuration is known to be current at `now`.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now.as_nanos() <= self.fresh_until.load(Ordering::Acquire)
    }

    /// Takes over the platform's list of instances.
    pub fn list(self: &Arc<Self>, list: Arc<[Instance]>, now: Instant) {
        *self.listed.write().expect("listed lock") = Some(list);
        if let Some(current) = self.enforced().first() {
            self.sync_targets(current, now);
        }
        self.pump(now);
    }

    /// Returns whether the platform's list was read at least once.
    pub fn has_list(&self) -> bool {
        self.listed.read().expect("listed lock").is_some()
    }

    /// Takes over the pools and phases of the instances.
    pub fn assign(self: &Arc<Self>, roster: Arc<Roster>, now: Instant) {
        let version = roster.version();
        *self.roster.write().expect("roster lock") = roster;
        if let Some(current) = self.enforced().first() {
            self.sync_targets(current, now);
        }
        self.assigned.store(version, Ordering::Release);
        self.pump(now);
    }

    /// Returns the pools and phases in force.
    pub fn roster(&self) -> Arc<Roster> {
        self.roster.read().expect("roster lock").clone()
    }

    /// Brings the targets of each service in step with the list and the pools of the instances.
    ///
    /// The document states the pool of an instance only until it has an assignment. An instance
    /// that drains or moves is no target.
    fn sync_targets(&self, current: &Snapshot, now: Instant) {
        let Some(list) = self.listed.read().expect("listed lock").clone() else {
            return;
        };
        let _sync = self.sync.lock().expect("sync lock");
        let roster = self.roster();
        let pool_of = |instance: &Instance| match roster.get(&instance.name) {
            Some(membership) => current
                .pool_id(&membership.pool)
                .filter(|_| membership.takes_calls()),
            None => current.pool_of(&instance.name),
        };
        for (id, service) in current.services() {
            let pool = current.service_pool(id);
            let listed: Vec<&Instance> = list
                .iter()
                .filter(|i| pool.is_some() && pool_of(i) == pool)
                .collect();
            let lane = self.lane_or_new(id, service.slots);
            lock(&lane).targets.sync(&listed, current, now);
        }
    }

    /// Takes over what peers report to run.
    pub fn report(self: &Arc<Self>, load: &Load, now: Instant) {
        for (id, lane) in self.lanes() {
            let mut lane = lock(&lane);
            lane.targets.report(&load.targets);
            let teams = load.teams.iter().filter(|((service, _), _)| *service == id);
            lane.reported = teams.map(|((_, team), n)| (*team, *n)).collect();
        }
        self.pump(now);
    }

    /// Runs `read` on the targets of a service.
    pub fn with_targets<T>(
        &self,
        service: ServiceId,
        read: impl FnOnce(&Targets) -> T,
    ) -> Option<T> {
        self.lane(service).map(|lane| read(&lock(&lane).targets))
    }

    /// Runs `act` on the ledger of permits.
    pub fn with_ledger<T>(&self, act: impl FnOnce(&mut Ledger) -> T) -> T {
        act(&mut self.ledger.lock().expect("ledger lock"))
    }

    /// Returns the sign that is woken when a call waits for a permit.
    pub fn permit_wanted(&self) -> &Notify {
        &self.permit_wanted
    }

    /// Returns whether any service has a target at the address.
    pub fn has_target(&self, address: SocketAddr) -> bool {
        let known = |targets: &Targets| targets.iter().any(|(_, t)| t.address == address);
        self.lanes()
            .iter()
            .any(|(_, lane)| known(&lock(lane).targets))
    }

    /// Returns what runs through this entry instance.
    pub fn load(&self) -> Load {
        // The version is taken first: a call that was granted by an older one is counted below.
        let mut load = Load {
            assigned: self.assigned(),
            ..Load::default()
        };
        for (id, lane) in self.lanes() {
            let lane = lock(&lane);
            let running = (0u32..).zip(&lane.running).filter(|(_, n)| **n > 0);
            load.teams
                .extend(running.map(|(team, n)| ((id, TeamId(team)), *n)));
            for (_, target) in lane.targets.iter().filter(|(_, t)| t.running > 0) {
                *load.targets.entry(target.name.clone()).or_insert(0) += target.running;
            }
        }
        load
    }

    /// Returns the version of the roster by which calls are granted; none older is used any more.
    pub fn assigned(&self) -> u64 {
        self.assigned.load(Ordering::Acquire)
    }

    /// Returns how many calls wait per team, over all services.
    pub fn demand(&self) -> Map<TeamId, u32> {
        let mut demand = Map::default();
        for (_, lane) in self.lanes() {
            for (team, waiting) in lock(&lane).queues.demand() {
                *demand.entry(team).or_insert(0) += u32::try_from(waiting).unwrap_or(u32::MAX);
            }
        }
        demand
    }

    /// Returns how many calls hold a grant.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Returns how many calls wait.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

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

    /// Checks everything again that may have changed since the grant.
    ///
    /// Returns by when the work must have ended.
    pub(super) fn check(&self, grant: &Grant, now: Instant) -> Result<Instant, Refusal> {
        if !self.is_fresh(now) {
            return Err(Refusal::Stale);
        }
        if now >= grant.order.deadline {
            return Err(Refusal::DeadlinePassed);
        }
        let enforced = self.enforced();
        allow(&grant.order, &enforced)?;
        let startable = self
            .with_targets(grant.order.service, |t| {
                t.may_start(grant.target, &enforced)
            })
            .unwrap_or(false);
        if !startable {
            return Err(Refusal::NoTarget);
        }
        let ends = self.with_ledger(|ledger| ledger.check(grant.permit, now));
        ends.map_err(|_| Refusal::LimitReached)
    }

    pub(super) fn retry(
        &self,
        grant: &mut Grant,
        verdict: Verdict,
        now: Instant,
    ) -> Result<(), Refusal> {
        let lane = self.lane(grant.order.service).ok_or(Refusal::NoTarget)?;
        let enforced = self.enforced();
        let near = *self.near.read().expect("near lock");
        let mut lane = lock(&lane);
        grant.tried.push(grant.target);
        if !lane.retries.spend() {
            return Err(Refusal::Unreachable);
        }
        let next = lane.targets.choose(now, near, &enforced, &grant.tried);
        let next = next.ok_or(Refusal::Unreachable)?;
        lane.targets.finish(grant.target, verdict, now);
        grant.target = next;
        grant.address = lane.targets.get(next).ok_or(Refusal::NoTarget)?.address;
        Ok(())
    }

    pub(super) fn finish(
        self: &Arc<Self>,
        grant: &Grant,
        verdict: Verdict,
        end: End,
        now: Instant,
    ) {
        if let Some(lane) = self.lane(grant.order.service) {
            let mut lane = lock(&lane);
            lane.count_end(grant.order.team);
            if verdict == Verdict::Answered {
                lane.queues.record(now.since(grant.granted));
            }
            if let Some(ejected) = lane.targets.finish(grant.target, verdict, now) {
                log_ejection(grant, verdict, ejected);
            }
        }
        match end {
            End::Proved => self.with_ledger(|ledger| ledger.give(grant.permit)),
            End::Unproved => {
                let until = grant.ends.unwrap_or(now);
                self.lingering
                    .lock()
                    .expect("lingering lock")
                    .push_back((until, grant.permit));
            }
        }
        self.running.fetch_sub(1, Ordering::AcqRel);
        self.pump(now);
    }

    pub(super) fn judge(&self, grant: &Grant, verdict: Verdict, now: Instant) {
        if let Some(lane) = self.lane(grant.order.service)
            && let Some(ejected) = lock(&lane).targets.judge(grant.target, verdict, now)
        {
            log_ejection(grant, verdict, ejected);
        }
    }

    /// Takes one retry from the budget of a service, or returns false when there is none.
    pub fn spend_retry(&self, service: ServiceId) -> bool {
        self.lane(service)
            .is_some_and(|lane| lock(&lane).retries.spend())
    }

    /// Gives back permits whose work cannot be running any more, and refuses late calls.
    pub fn tick(self: &Arc<Self>, now: Instant) {
        let ended: Vec<Permit> = {
            let mut lingering = self.lingering.lock().expect("lingering lock");
            let ended = lingering
                .iter()
                .filter(|(until, _)| *until <= now)
                .map(|(_, p)| *p)
                .collect();
            lingering.retain(|(until, _)| *until > now);
            ended
        };
        self.with_ledger(|ledger| ended.into_iter().for_each(|permit| ledger.give(permit)));
        self.pump(now);
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

    /// Returns the longest run of a call over the enforced versions.
    pub fn longest_run(&self) -> Duration {
        self.enforced()
            .iter()
            .filter_map(|s| s.document())
            .map(|d| Duration::from_millis(d.longest_run_ms.into()))
            .max()
            .unwrap_or(DEFAULT_LONGEST_RUN)
    }

    fn lanes(&self) -> Vec<(ServiceId, Arc<Mutex<Lane>>)> {
        let lanes = self.lanes.read().expect("lanes lock");
        (0u32..)
            .zip(lanes.iter())
            .map(|(i, lane)| (ServiceId(i), lane.clone()))
            .collect()
    }

    fn lane(&self, service: ServiceId) -> Option<Arc<Mutex<Lane>>> {
        self.lanes
            .read()
            .expect("lanes lock")
            .get(service.index())
            .cloned()
    }

    fn lane_or_new(&self, service: ServiceId, slots: u32) -> Arc<Mutex<Lane>> {
        let mut lanes = self.lanes.write().expect("lanes lock");
        while lanes.len() <= service.index() {
            lanes.push(Arc::new(Mutex::new(Lane::new(slots))));
        }
        lanes[service.index()].clone()
    }
}

/// Place of a waiting call; dropping it takes the call out of the queue.
struct Place<'a> {
    dispatcher: &'a Dispatcher,
    lane: &'a Mutex<Lane>,
    ticket: Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if lock(self.lane).queues.cancel(self.ticket).is_some() {
            self.dispatcher.waiting.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

fn log_ejection(grant: &Grant, verdict: Verdict, length: Duration) {
    log::warn!(event = "target-ejected", peer:% = grant.address, verdict:% = verdict,
        seconds = length.as_secs(); "");
}

fn lock(lane: &Mutex<Lane>) -> MutexGuard<'_, Lane> {
    lane.lock().expect("lane lock")
}

/// Checks key, team and service in every enforced version.
fn allow(order: &Order, enforced: &[Arc<Snapshot>]) -> Result<(), Refusal> {
    let allowed = !enforced.is_empty()
        && enforced.iter().all(|s| {
            s.authenticate(&order.key) == Some(order.team) && s.may_call(order.team, order.service)
        });
    if allowed {
        Ok(())
    } else {
        Err(Refusal::Withdrawn)
    }
}
