//! Load balancing over targets: data centres, slots, ejection and slow start.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::fleet::{Document, Registry, Snapshot};
use coriandernotch::platform::{Instance, State};
use coriandernotch::route::{TargetId, Targets, Verdict};

const SLOTS: u32 = 8;

fn snapshot(registry: &mut Registry, version: u64, out_of_service: &[&str]) -> Arc<Snapshot> {
    let data_centres: Vec<_> = ["a", "b"]
        .iter()
        .map(|name| {
            let state = if out_of_service.contains(name) {
                "out"
            } else {
                "in"
            };
            serde_json::json!({"name": name, "region": "r", "state": state})
        })
        .collect();
    let document: Document = serde_json::from_value(serde_json::json!({
        "name": "f", "data-centres": data_centres, "workspaces": [], "pools": []
    }))
    .unwrap();
    Arc::new(Snapshot::build(version, document.into(), registry))
}

fn instance(name: &str, data_centre: &str, state: State) -> Instance {
    Instance {
        name: name.into(),
        address: format!(
            "127.0.0.1:{}",
            1000 + name.bytes().map(u16::from).sum::<u16>()
        )
        .parse()
        .unwrap(),
        data_centre: data_centre.into(),
        rack: "r".into(),
        incarnation: 0,
        state,
    }
}

struct Fixture {
    registry: Registry,
    snapshot: Arc<Snapshot>,
    targets: Targets,
    now: Instant,
}

impl Fixture {
    fn new(local: usize, remote: usize) -> Self {
        let mut registry = Registry::default();
        let snapshot = snapshot(&mut registry, 1, &[]);
        let list: Vec<Instance> = (0..local)
            .map(|i| instance(&format!("a{i}"), "a", State::Live))
            .chain((0..remote).map(|i| instance(&format!("b{i}"), "b", State::Live)))
            .collect();
        let now = Instant::default() + Duration::from_secs(100);
        let mut targets = Targets::new(SLOTS);
        targets.set_instances(&list.iter().collect::<Vec<_>>(), &snapshot, now);
        Self {
            registry,
            snapshot,
            targets,
            now,
        }
    }

    fn choose(&mut self) -> Option<TargetId> {
        let local = self.snapshot.data_centre_id("a");
        self.targets
            .choose(self.now, local, std::slice::from_ref(&self.snapshot), &[])
    }

    fn name(&self, id: TargetId) -> String {
        self.targets.get(id).unwrap().name.to_string()
    }
}

/// Guards against calls sent to another data centre while the local one has free slots, and against
/// more calls on a target than it has slots.
#[test]
fn local_targets_fill_before_remote_ones_and_never_beyond_their_slots() {
    let mut fixture = Fixture::new(2, 2);
    let mut chosen = Vec::new();
    while let Some(id) = fixture.choose() {
        chosen.push(fixture.name(id));
    }
    assert_eq!(chosen.len(), 4 * SLOTS as usize);
    let first_remote = chosen.iter().position(|n| n.starts_with('b')).unwrap();
    assert_eq!(first_remote, 2 * SLOTS as usize);
}

/// Guards against a target that fails calls immediately, therefore always looks idle, and so
/// attracts most of the calls of the pool.
#[test]
fn a_target_that_fails_all_calls_does_not_attract_the_traffic() {
    let mut fixture = Fixture::new(10, 0);
    let mut counts: HashMap<String, u32> = HashMap::new();
    let mut busy: Vec<(Instant, TargetId)> = Vec::new();
    for _ in 0..2000 {
        fixture.now = fixture.now + Duration::from_millis(1);
        let (ended, rest): (Vec<_>, Vec<_>) =
            busy.into_iter().partition(|(t, _)| *t <= fixture.now);
        busy = rest;
        for (_, id) in ended {
            fixture.targets.finish(id, Verdict::Answered, fixture.now);
        }
        let Some(id) = fixture.choose() else { continue };
        *counts.entry(fixture.name(id)).or_default() += 1;
        if fixture.name(id) == "a0" {
            fixture.targets.finish(id, Verdict::Failed, fixture.now);
        } else {
            busy.push((fixture.now + Duration::from_millis(50), id));
        }
    }
    // Five failures eject the target for 1 s; after that, it fails a few more calls before each
    // further ejection.
    assert!(
        counts["a0"] < 30,
        "failing target got {} of 2000",
        counts["a0"]
    );
}

/// Guards against ejecting targets for failures that the calls themselves cause on every target.
#[test]
fn failures_shared_by_the_whole_pool_eject_few_targets() {
    let mut fixture = Fixture::new(6, 0);
    for _ in 0..300 {
        let id = fixture.choose().expect("a target with a free slot remains");
        fixture.targets.finish(id, Verdict::Failed, fixture.now);
    }
    let ejected = fixture
        .targets
        .iter()
        .filter(|(_, t)| t.health.is_ejected(fixture.now))
        .count();
    // A target that reaches five failures before the others can exceed their failure rate for a
    // while.
    assert!(ejected <= 3, "{ejected} of 6 targets ejected");
}

/// Guards against calls to targets that are leaving, unlisted, unreachable or out of service.
#[test]
fn targets_that_may_not_get_calls_are_not_chosen() {
    type Event = fn(&mut Fixture, TargetId);
    let cases: [(&str, Event); 5] = [
        ("listed as leaving", |fixture, _| {
            let list = [instance("a0", "a", State::Leaving)];
            fixture.targets.set_instances(
                &list.iter().collect::<Vec<_>>(),
                &fixture.snapshot.clone(),
                fixture.now,
            );
        }),
        ("missing from the list", |fixture, _| {
            fixture
                .targets
                .set_instances(&[], &fixture.snapshot.clone(), fixture.now);
        }),
        ("announced that it is leaving", |fixture, id| {
            fixture.targets.finish(id, Verdict::Leaving, fixture.now);
            // The platform's list lags behind and still shows it as live.
            let list = [instance("a0", "a", State::Live)];
            fixture.targets.set_instances(
                &list.iter().collect::<Vec<_>>(),
                &fixture.snapshot.clone(),
                fixture.now,
            );
        }),
        ("unreachable twice", |fixture, id| {
            fixture
                .targets
                .finish(id, Verdict::Unreachable, fixture.now);
            let id = fixture.choose().unwrap();
            fixture
                .targets
                .finish(id, Verdict::Unreachable, fixture.now);
        }),
        ("data centre out of service", |fixture, _| {
            fixture.snapshot = snapshot(&mut fixture.registry, 2, &["a"]);
        }),
    ];
    for (name, event) in cases {
        let mut fixture = Fixture::new(1, 0);
        let id = fixture.choose().unwrap();
        event(&mut fixture, id);
        assert_eq!(fixture.choose(), None, "{name}");
    }
}

/// Guards against sending a call to a data centre that was taken out of service after the target
/// was chosen.
#[test]
fn may_start_checks_the_data_centre_again_after_the_choice() {
    let mut fixture = Fixture::new(1, 0);
    let id = fixture.choose().unwrap();
    let before = fixture.snapshot.clone();
    assert!(fixture.targets.may_start(id, std::slice::from_ref(&before)));
    let pending = snapshot(&mut fixture.registry, 2, &["a"]);
    assert!(!fixture.targets.may_start(id, &[before, pending]));
}

/// Guards against a burst of calls to a data centre that was just put back into service.
#[test]
fn a_returning_data_centre_regains_its_slots_gradually() {
    let mut fixture = Fixture::new(4, 0);
    let out_of_service = snapshot(&mut fixture.registry, 2, &["a"]);
    fixture.targets.apply_snapshot(&out_of_service, fixture.now);
    fixture
        .targets
        .apply_snapshot(&fixture.snapshot.clone(), fixture.now);
    let enforced = [fixture.snapshot.clone()];
    let free_after = |seconds| {
        fixture
            .targets
            .free_slots(fixture.now + Duration::from_secs(seconds), &enforced)
    };
    assert_eq!([free_after(0), free_after(15), free_after(30)], [4, 16, 32]);
}

/// Guards against a replacement instance that inherits the running calls and health of the old one.
#[test]
fn a_replaced_instance_starts_with_fresh_state() {
    let mut fixture = Fixture::new(1, 0);
    let old = fixture.choose().unwrap();
    let mut replaced = instance("a0", "a", State::Live);
    replaced.address.set_port(9);
    fixture
        .targets
        .set_instances(&[&replaced], &fixture.snapshot.clone(), fixture.now);
    let new = fixture.choose().unwrap();
    assert_ne!(old, new);
    assert_eq!(fixture.targets.get(new).unwrap().address.port(), 9);
}
