use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::inventory::Inventory;
use crate::claim::{self, Owner};
use crate::clock::Instant;
use crate::collections::Map;
use crate::config::{Operation, Voter};
use crate::control::Control;
use crate::event::Log;
use crate::front::callers::{Port, jobs};
use crate::peer::{Hub, Member};
use crate::platform::{Instance, Platform};
use crate::settings::Settings;

/// Transactions a second for claims of idempotency keys in the whole fleet, out of the several
/// hundred that the table service can execute.
const CLAIM_TRANSACTIONS_PER_SECOND: f64 = 150.0;

/// Number of entry instances among which [`CLAIM_TRANSACTIONS_PER_SECOND`] is divided.
const ENTRY_INSTANCES: usize = 8;

/// State that the tasks of one entry instance share.
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    /// Member row of this instance, as its peers read it.
    pub member: Member,
    /// Configuration and dispatcher.
    pub control: Arc<Control>,
    /// Connected peers.
    pub hub: Arc<Hub>,
    /// Port for callers.
    pub port: Arc<Port>,
    /// Platform services.
    pub platform: Platform,
    /// Peers that this instance dials, by name; sending `None` ends the dialling.
    pub(super) dialled_peers: std::sync::Mutex<Map<Arc<str>, watch::Sender<Option<Member>>>>,
    /// Members of the last scan.
    pub(super) members: std::sync::Mutex<Vec<Member>>,
    /// Version of the roster in force before the last scan of the members.
    pub(super) members_roster_version: AtomicU64,
    /// Notified when the assignments should be read at once.
    pub(super) roster_wanted: Notify,
    /// Notified when the members should be scanned at once.
    pub(super) members_wanted: Notify,
    /// Last list of the platform, and when it showed each instance.
    pub(super) inventory: std::sync::Mutex<Inventory>,
    /// Whether the assignments have been read at least once.
    pub(super) roster_loaded: AtomicBool,
    /// Last list of instances that the platform returned.
    pub(super) instances: std::sync::Mutex<Arc<[Instance]>>,
    /// Permits held for jobs; each counts until no run can use it any more.
    pub(super) job_permits: AtomicUsize,
    /// Set to true to stop the tasks.
    pub(super) stop: watch::Sender<bool>,
    /// Set when the shutdown starts; the instance is not ready from then on.
    pub(super) shutting_down: AtomicBool,
    /// Number of the next operation of this instance.
    next_sequence: AtomicU64,
}

impl Shared {
    pub(super) fn new(
        settings: Settings,
        member: Member,
        control: Arc<Control>,
        platform: Platform,
    ) -> Arc<Self> {
        let hub = Hub::new(control.clone(), &settings.data_centre);
        let owner = Owner {
            instance: member.name.clone(),
            incarnation: member.incarnation,
        };
        let share = claim::Settings::share(CLAIM_TRANSACTIONS_PER_SECOND, ENTRY_INSTANCES);
        let claims = Arc::new(claim::Manager::start(platform.table.clone(), owner, share));
        let port = Port::new(
            control.dispatcher().clone(),
            claims,
            (&settings.bounds).into(),
            Some(jobs::Handler::start(platform.table.clone(), hub.clone())),
        );
        Arc::new(Self {
            settings,
            member,
            control,
            hub,
            port,
            platform,
            dialled_peers: Default::default(),
            members: Default::default(),
            members_roster_version: AtomicU64::new(0),
            roster_wanted: Notify::new(),
            members_wanted: Notify::new(),
            inventory: Default::default(),
            roster_loaded: AtomicBool::new(false),
            instances: std::sync::Mutex::new(Arc::default()),
            job_permits: AtomicUsize::new(0),
            stop: watch::Sender::new(false),
            shutting_down: AtomicBool::new(false),
            next_sequence: AtomicU64::new(0),
        })
    }

    /// Returns whether the load balancer should send callers to this instance.
    pub fn is_ready(&self, now: Instant) -> bool {
        let dispatcher = self.control.dispatcher();
        !self.shutting_down.load(Ordering::Acquire)
            && dispatcher.is_fresh(now)
            && dispatcher.has_instances()
            && self.has_permits()
    }

    /// Returns whether this instance is a voter, which has permits of its own, or is connected to a
    /// voter from which it can borrow permits.
    ///
    /// A new instance is neither until it has scanned the members; its calls would wait in vain.
    fn has_permits(&self) -> bool {
        let own = self.control.own();
        let head = self.control.read(|state| state.revision()).map(|r| r.head);
        head.is_some_and(|head| {
            let usable = |voter: &Voter| voter == own || self.hub.link(voter).is_some();
            head.voters.iter().any(usable)
        })
    }

    /// Returns the list of instances that the platform returned last.
    pub(super) fn instances(&self) -> Arc<[Instance]> {
        self.instances.lock().expect("instances lock").clone()
    }

    /// Returns the event log of this instance.
    pub fn events(&self) -> &Log {
        self.control.dispatcher().events()
    }

    /// Returns whether the assignments have been read at least once.
    pub(super) fn has_roster(&self) -> bool {
        self.roster_loaded.load(Ordering::Acquire)
    }

    /// Returns the members of the last scan.
    pub fn members(&self) -> Vec<Member> {
        self.members.lock().expect("members lock").clone()
    }

    /// Returns the members of the last scan, and the version of the roster in force before the
    /// scan.
    pub(super) fn scanned_members(&self) -> (Vec<Member>, u64) {
        let members = self.members.lock().expect("members lock");
        (
            members.clone(),
            self.members_roster_version.load(Ordering::Acquire),
        )
    }

    pub(super) fn next_operation(&self) -> Operation {
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        Operation::of(self.control.own(), sequence)
    }

    /// Waits like [`Shared::pause`], but returns early when `notify` is notified.
    pub(super) async fn pause_until(&self, notify: &Notify, period: Duration) -> bool {
        tokio::select! {
            stopping = self.pause(period) => stopping,
            () = notify.notified() => *self.stop.borrow(),
        }
    }

    /// Waits for `period` with a jitter of 10%; returns true at once when the instance stops.
    ///
    /// The jitter keeps instances that started together from reading the store at the same time.
    pub(super) async fn pause(&self, period: Duration) -> bool {
        let mut stop = self.stop.subscribe();
        let jitter = f64::from(crate::clock::now().as_nanos() as u32 % 1000) / 5000.0;
        let period = period.mul_f64(0.9 + jitter);
        tokio::select! {
            () = tokio::time::sleep(period) => false,
            _ = stop.wait_for(|stop| *stop) => true,
        }
    }
}
