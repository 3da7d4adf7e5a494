use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::sightings::Sightings;
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

/// Transactions a second that claims of the whole fleet may take of the several hundred that the
/// table service does.
const CLAIM_BUDGET: f64 = 150.0;

/// Entry instances among which the budget is split.
const ENTRY_INSTANCES: usize = 8;

/// What the tasks of one entry instance share.
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    /// This instance as peers see it.
    pub member: Member,
    /// Configuration and dispatcher.
    pub control: Arc<Control>,
    /// Connected peers.
    pub hub: Arc<Hub>,
    /// Callers' port.
    pub port: Arc<Port>,
    /// Platform services.
    pub platform: Platform,
    /// Peers that are dialled, by name.
    pub(super) dialled: std::sync::Mutex<Map<Arc<str>, watch::Sender<Option<Member>>>>,
    /// Members of the last scan.
    pub(super) members: std::sync::Mutex<Vec<Member>>,
    /// Version of the roster in force before the last scan of the members.
    pub(super) members_at: AtomicU64,
    /// Woken when the assignments should be read at once.
    pub(super) roster_wanted: Notify,
    /// Woken when the members should be scanned at once.
    pub(super) members_wanted: Notify,
    pub(super) sightings: std::sync::Mutex<Sightings>,
    /// Set when the assignments were read for the first time.
    pub(super) roster_read: AtomicBool,
    /// Last reading of the platform's list.
    pub(super) instances: std::sync::Mutex<Arc<[Instance]>>,
    /// Permits held for jobs, until no run can use them any more.
    pub(super) job_permits: AtomicUsize,
    pub(super) stop: watch::Sender<bool>,
    pub(super) leaving: AtomicBool,
    sequence: AtomicU64,
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
        let share = claim::Settings::share(CLAIM_BUDGET, ENTRY_INSTANCES);
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
            dialled: Default::default(),
            members: Default::default(),
            members_at: AtomicU64::new(0),
            roster_wanted: Notify::new(),
            members_wanted: Notify::new(),
            sightings: Default::default(),
            roster_read: AtomicBool::new(false),
            instances: std::sync::Mutex::new(Arc::default()),
            job_permits: AtomicUsize::new(0),
            stop: watch::Sender::new(false),
            leaving: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
        })
    }

    /// Returns whether the balancer should send callers here.
    pub fn is_ready(&self, now: Instant) -> bool {
        let dispatcher = self.control.dispatcher();
        !self.leaving.load(Ordering::Acquire)
            && dispatcher.is_fresh(now)
            && dispatcher.has_list()
            && self.has_permits()
    }

    /// Returns whether this instance has a home, or a voter from whom it can borrow.
    ///
    /// A new instance has neither for up to a scan of the members; its calls would wait in vain.
    fn has_permits(&self) -> bool {
        let own = self.control.own();
        let head = self.control.read(|state| state.revision()).map(|r| r.head);
        head.is_some_and(|head| {
            let usable = |voter: &Voter| voter == own || self.hub.link(voter).is_some();
            head.voters.iter().any(usable)
        })
    }

    /// Returns the events of this instance.
    pub fn events(&self) -> &Log {
        self.control.dispatcher().events()
    }

    /// Returns whether the assignments were read at least once.
    pub(super) fn has_roster(&self) -> bool {
        self.roster_read.load(Ordering::Acquire)
    }

    /// Lists the members of the last scan.
    pub fn members(&self) -> Vec<Member> {
        self.members.lock().expect("members lock").clone()
    }

    /// Lists the members of the last scan, with the roster version in force before the scan.
    pub(super) fn scanned_members(&self) -> (Vec<Member>, u64) {
        let members = self.members.lock().expect("members lock");
        (members.clone(), self.members_at.load(Ordering::Acquire))
    }

    pub(super) fn next_operation(&self) -> Operation {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        Operation::of(self.control.own(), sequence)
    }

    /// Waits like [`Shared::pause`], but goes on at once when `wanted` is woken.
    pub(super) async fn pause_unless(&self, wanted: &Notify, period: Duration) -> bool {
        tokio::select! {
            stops = self.pause(period) => stops,
            () = wanted.notified() => *self.stop.borrow(),
        }
    }

    /// Waits `period`, give or take a tenth, or returns true when the instance stops.
    ///
    /// The spread keeps instances that started together from reading the store together.
    pub(super) async fn pause(&self, period: Duration) -> bool {
        let mut stop = self.stop.subscribe();
        let spread = f64::from(crate::clock::now().as_nanos() as u32 % 1000) / 5000.0;
        let period = period.mul_f64(0.9 + spread);
        tokio::select! {
            () = tokio::time::sleep(period) => false,
            _ = stop.wait_for(|stop| *stop) => true,
        }
    }
}
