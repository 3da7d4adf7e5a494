//! Test fixture: a dispatcher with its configuration, targets and simulated time, without sockets.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use coriandernotch::admit::Refusal;
use coriandernotch::call::{Dispatcher, Grant, Order};
use coriandernotch::clock::{self, Instant};
use coriandernotch::fleet::{Digest, Document, Registry, Snapshot};
use coriandernotch::limit::{Ledger, Terms, Voter};
use coriandernotch::platform::{Instance, State};

pub(crate) const SLOTS: u32 = 2;
pub(crate) const LONGEST_RUN: Duration = Duration::from_secs(30);
pub(crate) const NOTHING_HELD: (usize, usize, u32, u32) = (0, 0, 0, 0);
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(10);

/// Deviations of one version from the default fleet document.
#[derive(Clone, Copy, Default)]
pub(crate) struct Overrides {
    /// Data centre out of service.
    pub(crate) out_of_service: Option<&'static str>,
    /// Workspace whose key is withdrawn.
    pub(crate) key_withdrawn: Option<&'static str>,
    /// Limit of the workspace `red`, 3 by default.
    pub(crate) red_limit: Option<u32>,
    /// Queue limit of both services, 1000 by default.
    pub(crate) queue_limit: Option<u32>,
}

pub(crate) type Admission = Pin<Box<dyn Future<Output = Result<Grant, Refusal>> + Send>>;

pub(crate) struct Fixture {
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) snapshot: Arc<Snapshot>,
    registry: Registry,
    voter: Voter,
    /// Start of the test on tokio's clock, which tests can pause, and on the project's clock.
    start: (tokio::time::Instant, Instant),
    targets: u16,
}

impl Fixture {
    /// Creates the workspaces `red` and `blue` and the services `one` and `two`, each service with
    /// one target in each of the data centres `a` and `b`.
    pub(crate) fn new(overrides: Overrides) -> Self {
        Self::with_size(1, SLOTS, overrides)
    }

    /// Like [`Fixture::new`], with `targets` targets in each data centre and pool and `slots` slots
    /// each.
    pub(crate) fn with_size(targets: u16, slots: u32, overrides: Overrides) -> Self {
        let voter = Voter::new("a", 1);
        let mut registry = Registry::default();
        let snapshot = snapshot(&mut registry, 1, targets, slots, overrides);
        let mut fixture = Self {
            dispatcher: Dispatcher::new(Ledger::new(voter.clone())),
            snapshot,
            registry,
            voter,
            start: (tokio::time::Instant::now(), clock::now()),
            targets,
        };
        fixture.install(fixture.snapshot.clone());
        fixture.refresh();
        fixture.list(&[]);
        fixture
    }

    pub(crate) fn now(&self) -> Instant {
        self.start.1 + self.start.0.elapsed()
    }

    /// Marks the configuration as current for an hour.
    pub(crate) fn refresh(&self) {
        let until = self.now() + Duration::from_secs(3600);
        self.dispatcher.set_fresh_until(until);
    }

    fn install(&mut self, snapshot: Arc<Snapshot>) {
        let now = self.now();
        let terms = Terms::of(&snapshot, vec![self.voter.clone()]);
        self.dispatcher.with_ledger(|l| l.install(&terms, now));
        self.snapshot = snapshot.clone();
        self.dispatcher.enforce(Arc::from([snapshot]), "a", now);
    }

    /// Puts the next version of the configuration into force.
    pub(crate) fn enforce_next(&mut self, slots: u32, overrides: Overrides) {
        let version = self.snapshot.version() + 1;
        let next = snapshot(&mut self.registry, version, self.targets, slots, overrides);
        self.install(next);
    }

    /// Enforces, besides the version in force, a next version whose commit is pending.
    pub(crate) fn enforce_pending(&mut self, slots: u32, overrides: Overrides) {
        let version = self.snapshot.version() + 1;
        let next = snapshot(&mut self.registry, version, self.targets, slots, overrides);
        let both = Arc::from([self.snapshot.clone(), next]);
        self.dispatcher.enforce(both, "a", self.now());
    }

    /// Lists all targets, those in `leaving` with the state leaving and the others live.
    pub(crate) fn list(&self, leaving: &[&str]) {
        let names = ["one", "two"].into_iter().flat_map(|pool| {
            let data_centres = ["a", "b"].into_iter();
            data_centres.flat_map(move |dc| (0..self.targets).map(move |n| (pool, dc, n)))
        });
        let list = names.enumerate().map(|(index, (pool, dc, n))| {
            let name = format!("{pool}-{dc}-{n}");
            let state = match leaving.contains(&&*name) {
                true => State::Leaving,
                false => State::Live,
            };
            Instance {
                name: name.into(),
                address: ([127, 0, 0, 1], 1000 + index as u16).into(),
                data_centre: dc.into(),
                rack: "r".into(),
                state,
                incarnation: 0,
            }
        });
        self.dispatcher.set_instances(list.collect(), self.now());
    }

    pub(crate) fn order(&self, workspace: &str, service: &str, timeout: Duration) -> Order {
        Order {
            service: self.snapshot.service_id(service).unwrap(),
            workspace: self.snapshot.workspace_id(workspace).unwrap(),
            key: Digest::of(format!("{workspace}-key").as_bytes()),
            deadline: self.now() + timeout,
        }
    }

    /// Starts an admission and polls it once.
    pub(crate) fn admit(
        &self,
        workspace: &str,
        service: &str,
        timeout: Duration,
    ) -> (Admission, Poll<Result<Grant, Refusal>>) {
        let order = self.order(workspace, service, timeout);
        let (dispatcher, now) = (self.dispatcher.clone(), self.now());
        let mut admission: Admission = Box::pin(async move { dispatcher.admit(order, now).await });
        let first = poll(&mut admission);
        (admission, first)
    }

    /// Admits a call that must get its grant at once.
    pub(crate) fn grant(&self, workspace: &str, service: &str) -> Grant {
        match self.admit(workspace, service, Duration::from_secs(10)).1 {
            Poll::Ready(Ok(grant)) => grant,
            other => panic!("admission did not grant at once: {other:?}"),
        }
    }

    /// Starts an admission that must wait.
    pub(crate) fn wait(&self, workspace: &str, service: &str, timeout: Duration) -> Admission {
        let (admission, first) = self.admit(workspace, service, timeout);
        assert!(first.is_pending(), "admission did not wait: {first:?}");
        admission
    }

    /// Returns the permits of a workspace that are in use.
    pub(crate) fn permits_in_use(&self, workspace: &str) -> u32 {
        let workspace = self.snapshot.workspace_id(workspace).unwrap();
        self.dispatcher
            .with_ledger(|ledger| ledger.running(workspace))
    }

    /// Returns the numbers of grants, waiting calls, permits in use and occupied slots.
    pub(crate) fn resources_held(&self) -> (usize, usize, u32, u32) {
        let slots = self.dispatcher.running_load().targets.values().sum();
        (
            self.dispatcher.running(),
            self.dispatcher.waiting(),
            self.permits_in_use("red") + self.permits_in_use("blue"),
            slots,
        )
    }
}

pub(crate) fn poll(admission: &mut Admission) -> Poll<Result<Grant, Refusal>> {
    admission
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()))
}

fn snapshot(
    registry: &mut Registry,
    version: u64,
    targets: u16,
    slots: u32,
    overrides: Overrides,
) -> Arc<Snapshot> {
    let key = |workspace: &str| match overrides.key_withdrawn == Some(workspace) {
        true => serde_json::json!([]),
        false => serde_json::json!([{
            "name": "k", "digest": Digest::of(format!("{workspace}-key").as_bytes())
        }]),
    };
    let data_centre = |name: &str| {
        let state = if overrides.out_of_service == Some(name) {
            "out"
        } else {
            "in"
        };
        serde_json::json!({"name": name, "region": "r", "state": state})
    };
    let instances = |pool: &str| -> Vec<String> {
        let data_centres = ["a", "b"].into_iter();
        data_centres
            .flat_map(|dc| (0..targets).map(move |n| format!("{pool}-{dc}-{n}")))
            .collect()
    };
    let pool = |name: &str| {
        serde_json::json!({
            "name": name, "size": 2 * targets, "budget": {"unavailable": 1},
            "instances": instances(name),
        })
    };
    let service = |name: &str| {
        let limit = overrides.queue_limit.unwrap_or(1000);
        serde_json::json!({"name": name, "pool": name, "slots": slots, "queue-limit": limit})
    };
    let document: Document = serde_json::from_value(serde_json::json!({
        "name": "f",
        "longest-run-ms": LONGEST_RUN.as_millis() as u64,
        "data-centres": [data_centre("a"), data_centre("b")],
        "workspaces": [
            {
                "name": "red", "share": 1, "limit": overrides.red_limit.unwrap_or(3),
                "keys": key("red"),
            },
            {"name": "blue", "share": 1, "limit": 10_000, "keys": key("blue")},
        ],
        "pools": [pool("one"), pool("two")],
        "services": [service("one"), service("two")],
    }))
    .unwrap();
    Arc::new(Snapshot::build(version, document.into(), registry))
}
