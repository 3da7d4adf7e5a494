//! Fleet, store and manager for tests of pools and plans.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::sync::Arc;

use coriandernotch::clock::Instant;
use coriandernotch::fleet::{Document, PoolId, Registry};
use coriandernotch::plans::{Calendar, Plan, Wave};
use coriandernotch::platform;
use coriandernotch::pools::{
    Assignment, Observation, Outcome, Phase, Request, Rows, State, Step, Summary, Tenure, commit,
};
use coriandernotch::standin::Store;

/// Start of the tests in seconds since 1970: midnight, at the start of a period of 21 days.
pub(crate) const UNIX: u64 = 900 * 21 * 86_400;

/// Describes a pool; the one named `spare` is the spare pool.
pub(crate) fn pool(name: &str, size: u32, unavailable: u32, rack: u32) -> serde_json::Value {
    let instances: Vec<_> = (0..size).map(|i| format!("{name}-{i}")).collect();
    serde_json::json!({"name": name, "size": size, "spare": name == "spare",
        "budget": {"unavailable": unavailable, "rack": rack}, "instances": instances})
}

pub(crate) struct Bed {
    pub(crate) store: Arc<Store>,
    pub(crate) state: State,
    pub(crate) tenure: Tenure,
    pub(crate) now: Instant,
    pub(crate) calendar: Calendar,
    pub(crate) sights: BTreeMap<String, Observation>,
    pub(crate) document: Arc<Document>,
    registry: Registry,
    pub(crate) listing: Vec<platform::Instance>,
}

impl Bed {
    /// Racks of four instances of one pool, in two data centres by turns.
    pub(crate) fn new(pools: &[serde_json::Value]) -> Self {
        let document: Document = serde_json::from_value(serde_json::json!({
            "name": "f", "workspaces": [], "pools": pools, "data-centres": [
                {"name": "x", "region": "r"}, {"name": "y", "region": "r"}]
        }))
        .unwrap();
        let listed = |name: &Arc<str>| {
            let (pool, number) = name.rsplit_once('-').unwrap();
            let number: usize = number.parse().unwrap();
            platform::Instance {
                name: name.clone(),
                address: ([127, 0, 0, 1], 1).into(),
                data_centre: ["x", "y"][number % 2].into(),
                rack: format!("{pool}-{}-{}", number % 2, number / 8).into(),
                incarnation: 0,
                state: platform::State::Live,
            }
        };
        let listing: Vec<_> = document
            .pools
            .iter()
            .flat_map(|p| p.instances.iter().map(listed))
            .collect();
        let sight = Observation {
            live: true,
            running: 0,
            incarnation: 1,
        };
        let sights = listing.iter().map(|i| (i.name.to_string(), sight));
        let mut registry = Registry::default();
        let now = Instant::default();
        let tenure = Tenure::new(1);
        Self {
            store: Store::new(),
            state: State::build(now, &tenure, &document, &mut registry, &listing),
            tenure,
            now,
            calendar: Calendar::new(now, UNIX),
            sights: sights.collect(),
            document: document.into(),
            registry,
            listing,
        }
    }

    pub(crate) fn pool(&self, name: &str) -> PoolId {
        self.state
            .pools()
            .find(|(_, p)| *p.name == *name)
            .unwrap()
            .0
    }

    /// Writes the rows of all pools and instances.
    pub(crate) async fn found(&mut self) {
        for change in self.state.missing_rows().unwrap() {
            let outcome = commit(&self.store.client("a"), &change).await;
            assert_eq!(outcome, Outcome::Applied);
            self.state.apply(self.now, &change);
        }
    }

    pub(crate) fn edit(&mut self, change: impl FnOnce(&mut Document)) {
        let mut document = (*self.document).clone();
        change(&mut document);
        self.document = document.into();
    }

    pub(crate) fn resize(&mut self, sizes: &[(&str, u32)]) {
        self.edit(|document| {
            for (name, size) in sizes {
                let mut pools = document.pools.iter_mut();
                pools.find(|p| *p.name == **name).unwrap().size = *size;
            }
        });
    }

    pub(crate) async fn try_load(&mut self, tenure: &Tenure) -> Option<State> {
        let rows = Rows::fetch(&self.store.client("a")).await.unwrap();
        let (document, registry) = (&self.document, &mut self.registry);
        let state = State::build(self.now, tenure, document, registry, &self.listing);
        state.with_rows(self.now, registry, &rows)
    }

    pub(crate) async fn load(&mut self) {
        let tenure = self.tenure.clone();
        self.state = self.try_load(&tenure).await.expect("rows of one moment");
    }

    /// A manager with the next token takes over.
    pub(crate) async fn replace_manager(&mut self) {
        self.tenure = Tenure::new(self.state.token() + 1);
        self.load().await;
        let fence = self.state.fence().unwrap();
        let outcome = commit(&self.store.client("a"), &fence).await;
        assert_eq!(outcome, Outcome::Applied);
        self.state.apply(self.now, &fence);
    }

    /// Takes steps in one transaction.
    pub(crate) async fn take(&mut self, steps: &[Step]) -> Outcome {
        let change = self.state.draft(steps).unwrap();
        let outcome = commit(&self.store.client("a"), &change).await;
        if outcome == Outcome::Applied {
            self.state.apply(self.now, &change);
        }
        outcome
    }

    pub(crate) fn review(&self) -> Vec<Step> {
        let unix = self.calendar.unix_time(self.now);
        let sight = |id| {
            let name = &self.state.instance(id).name;
            self.sights.get(&**name).copied()
        };
        self.state.due_steps(self.now, unix, sight)
    }

    /// Takes each step that follows from what is seen, on its own.
    pub(crate) async fn run(&mut self) {
        for step in self.review() {
            if self.state.check(&[step]).is_ok() {
                self.take(&[step]).await;
            }
        }
    }

    /// Takes steps that start a wave of a plan, in one transaction.
    pub(crate) async fn start(&mut self, plan: &mut Plan, wave: &Wave) -> Outcome {
        let change = plan.guard(self.state.draft(&wave.steps).unwrap());
        let outcome = commit(&self.store.client("a"), &change).await;
        if outcome == Outcome::Applied {
            self.state.apply(self.now, &change);
            plan.record_start(self.now, wave, &self.state);
        }
        outcome
    }

    /// One turn of the manager, after which the platform reboots what it was asked to.
    pub(crate) async fn turn(&mut self, plan: &mut Plan, calendar: &Calendar) {
        self.run().await;
        for step in plan.drains_to_cancel(self.now, calendar, &self.state) {
            self.take(&[step]).await;
        }
        if let Ok(wave) = plan.choose(self.now, calendar, &self.state) {
            self.start(plan, &wave).await;
        }
        self.reboot();
    }

    fn reboot(&mut self) {
        let orders: Vec<Request> = self.state.requests().collect();
        for order in orders {
            let Request::Reboot {
                instance,
                incarnation,
                ..
            } = order
            else {
                continue;
            };
            let name = self.state.instance(instance).name.to_string();
            let sight = self.sights.get_mut(&name).unwrap();
            if sight.live && sight.incarnation == incarnation {
                sight.incarnation += 1;
            }
        }
    }

    pub(crate) fn truth(&mut self, name: &str) -> &mut Observation {
        self.sights.get_mut(name).unwrap()
    }

    /// Fails or brings back all instances of a data centre.
    pub(crate) fn set_data_centre(&mut self, name: &str, live: bool) {
        for listed in self.listing.iter().filter(|i| *i.data_centre == *name) {
            self.sights.get_mut(&*listed.name).unwrap().live = live;
        }
    }

    /// Fails all instances in the rack of one.
    pub(crate) fn fail_rack(&mut self, name: &str) {
        let rack = |name: &str| {
            self.listing
                .iter()
                .find(|i| *i.name == *name)
                .unwrap()
                .rack
                .clone()
        };
        let lost = rack(name);
        for listed in self.listing.iter().filter(|i| i.rack == lost) {
            self.sights.get_mut(&*listed.name).unwrap().live = false;
        }
    }

    pub(crate) fn row(&self, name: &str) -> Assignment {
        let row = self.store.row(&Assignment::key(name)).unwrap();
        serde_json::from_str(&row.value).unwrap()
    }

    /// Instances as their rows say.
    pub(crate) fn rows(&self) -> Vec<Assignment> {
        let rows = self.store.rows(Assignment::PREFIX);
        let read = |row: &platform::Row| serde_json::from_str(&row.value).unwrap();
        rows.iter().map(read).collect()
    }

    /// Every instance is in the count of exactly the pool that its row names.
    pub(crate) fn check_rows(&self, label: &str) {
        let rows = self.rows();
        assert_eq!(rows.len(), self.listing.len(), "{label}");
        for row in self.store.rows(Summary::PREFIX) {
            let name = row.key.strip_prefix(Summary::PREFIX).unwrap();
            let ledger: Summary = serde_json::from_str(&row.value).unwrap();
            let members = rows.iter().filter(|r| &*r.pool == name);
            let out = members.clone().filter(|r| r.phase != Phase::Serving);
            let counts = (members.count() as u32, out.count() as u32);
            assert_eq!((ledger.members, ledger.out), counts, "{label} pool {name}");
        }
    }
}
