mod admit;
mod authorize;
mod dispatch;
mod targets;
mod waiter;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use tokio::sync::Notify;

use super::{Load, Upstream};
use crate::clock::Instant;
use crate::collections::Map;
use crate::event::Log;
use crate::fleet::{DataCentreId, ServiceId, Snapshot, WorkspaceId};
use crate::limit::{Ledger, Permit};
use crate::platform::Instance;
use crate::pools::Roster;

/// Longest run of a call until the first fleet document sets it.
const DEFAULT_LONGEST_RUN: Duration = Duration::from_secs(30);

/// Grants target slots and workspace permits to the calls of one entry instance.
///
/// Lock order: the upstream of a service first, then the ledger; neither is held across an
/// `.await`.
#[derive(Debug)]
pub struct Dispatcher {
    upstreams: RwLock<Vec<Arc<Mutex<Upstream>>>>,
    /// Waiting calls of all services, read without a lock whenever a call ends.
    waiting: AtomicUsize,
    running: AtomicUsize,
    ledger: Mutex<Ledger>,
    /// Permits of calls that may still be running, each with the time at which it is released.
    delayed_releases: Mutex<VecDeque<(Instant, Permit)>>,
    enforced: RwLock<Arc<[Arc<Snapshot>]>>,
    /// Time until which the configuration is known to be current, in nanoseconds.
    fresh_until: AtomicU64,
    /// The platform's list of instances as last read; `None` before the first read.
    instances: RwLock<Option<Arc<[Instance]>>>,
    /// Pools and phases of the instances as last read; empty before the first read.
    roster: RwLock<Arc<Roster>>,
    /// Version of the roster that all targets were last updated from.
    assigned: AtomicU64,
    /// Held while targets are updated, so that an older roster cannot overwrite a newer one.
    sync_lock: Mutex<()>,
    draining: AtomicBool,
    /// Notified when a call waits for a permit.
    permit_wanted: Notify,
    /// Data centre of this entry instance, whose targets are preferred.
    local_data_centre: RwLock<Option<DataCentreId>>,
    events: Log,
}

impl Dispatcher {
    /// Creates a dispatcher without configuration, which refuses all calls.
    pub fn new(ledger: Ledger) -> Arc<Self> {
        Arc::new(Self {
            upstreams: RwLock::default(),
            waiting: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            ledger: Mutex::new(ledger),
            delayed_releases: Mutex::default(),
            enforced: RwLock::new(Arc::from([])),
            fresh_until: AtomicU64::new(0),
            instances: RwLock::new(None),
            roster: RwLock::default(),
            assigned: AtomicU64::new(0),
            sync_lock: Mutex::default(),
            draining: AtomicBool::new(false),
            permit_wanted: Notify::new(),
            local_data_centre: RwLock::new(None),
            events: Log::default(),
        })
    }

    /// Returns the event log of this entry instance.
    pub fn events(&self) -> &Log {
        &self.events
    }

    /// Enforces configuration versions: the one in force first, then those whose commit is pending.
    ///
    /// `local_data_centre` is the name of the data centre of this entry instance.
    pub fn enforce(&self, versions: Arc<[Arc<Snapshot>]>, local_data_centre: &str, now: Instant) {
        if let Some(current) = versions.first() {
            *self
                .local_data_centre
                .write()
                .expect("local data centre lock") = current.data_centre_id(local_data_centre);
            for (id, service) in current.services() {
                let upstream = self.upstream_or_new(id, service.slots);
                let mut upstream = lock(&upstream);
                upstream.targets.set_slots(service.slots);
                upstream.targets.apply_snapshot(current, now);
            }
            self.update_targets(current, now);
        }
        *self.enforced.write().expect("enforced lock") = versions;
    }

    /// Returns the configuration versions enforced together, the one in force first.
    pub fn enforced(&self) -> Arc<[Arc<Snapshot>]> {
        self.enforced.read().expect("enforced lock").clone()
    }

    /// Sets the time until which the configuration is known to be current.
    pub fn set_fresh_until(&self, until: Instant) {
        self.fresh_until.store(until.as_nanos(), Ordering::Release);
    }

    /// Returns whether the configuration is known to be current at `now`.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now.as_nanos() <= self.fresh_until.load(Ordering::Acquire)
    }

    /// Replaces the running calls that peers reported, summed over all peers.
    pub fn set_peer_load(self: &Arc<Self>, load: &Load, now: Instant) {
        for (id, upstream) in self.upstreams() {
            let mut upstream = lock(&upstream);
            upstream.targets.set_reported(&load.targets);
            let workspaces = load
                .workspaces
                .iter()
                .filter(|((service, _), _)| *service == id);
            upstream.reported = workspaces
                .map(|((_, workspace), n)| (*workspace, *n))
                .collect();
        }
        self.dispatch_waiting(now);
    }

    /// Runs `act` on the permit ledger.
    pub fn with_ledger<T>(&self, act: impl FnOnce(&mut Ledger) -> T) -> T {
        act(&mut self.ledger.lock().expect("ledger lock"))
    }

    /// Returns the signal that is notified when a call waits for a permit.
    pub fn permit_wanted(&self) -> &Notify {
        &self.permit_wanted
    }

    /// Returns the running calls that this entry instance dispatched.
    pub fn running_load(&self) -> Load {
        // Read before the calls are counted, so that every call granted under an older version of
        // the roster is counted below.
        let mut load = Load {
            roster_version: self.roster_version(),
            ..Load::default()
        };
        for (id, upstream) in self.upstreams() {
            let upstream = lock(&upstream);
            let running = (0u32..).zip(&upstream.running).filter(|(_, n)| **n > 0);
            load.workspaces
                .extend(running.map(|(workspace, n)| ((id, WorkspaceId(workspace)), *n)));
            for (_, target) in upstream.targets.iter().filter(|(_, t)| t.running > 0) {
                *load.targets.entry(target.tag).or_insert(0) += target.running;
            }
        }
        load
    }

    /// Returns the number of waiting calls per workspace, summed over all services.
    pub fn waiting_by_workspace(&self) -> Map<WorkspaceId, u32> {
        let mut demand = Map::default();
        for (_, upstream) in self.upstreams() {
            for (workspace, waiting) in lock(&upstream).queues.demand() {
                *demand.entry(workspace).or_insert(0) += u32::try_from(waiting).unwrap_or(u32::MAX);
            }
        }
        demand
    }

    /// Returns the number of calls that hold a grant.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// Returns the longest run of a call that any enforced version allows.
    pub fn longest_run(&self) -> Duration {
        self.enforced()
            .iter()
            .filter_map(|s| s.document())
            .map(|d| Duration::from_millis(d.longest_run_ms.into()))
            .max()
            .unwrap_or(DEFAULT_LONGEST_RUN)
    }

    pub(super) fn upstreams(&self) -> Vec<(ServiceId, Arc<Mutex<Upstream>>)> {
        let upstreams = self.upstreams.read().expect("upstreams lock");
        (0u32..)
            .zip(upstreams.iter())
            .map(|(i, upstream)| (ServiceId(i), upstream.clone()))
            .collect()
    }

    pub(super) fn upstream(&self, service: ServiceId) -> Option<Arc<Mutex<Upstream>>> {
        self.upstreams
            .read()
            .expect("upstreams lock")
            .get(service.index())
            .cloned()
    }

    fn upstream_or_new(&self, service: ServiceId, slots: u32) -> Arc<Mutex<Upstream>> {
        let mut upstreams = self.upstreams.write().expect("upstreams lock");
        while upstreams.len() <= service.index() {
            upstreams.push(Arc::new(Mutex::new(Upstream::new(slots))));
        }
        upstreams[service.index()].clone()
    }
}

pub(super) fn lock(upstream: &Mutex<Upstream>) -> MutexGuard<'_, Upstream> {
    upstream.lock().expect("upstream lock")
}
