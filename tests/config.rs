//! Configuration versions: searches over interleavings and tables of faults.

mod config_model;

use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use config_model::{Step, World};
use coriandernotch::clock::Instant;
use coriandernotch::collections::Set;
use coriandernotch::config::*;
use coriandernotch::platform::{Answer, Condition, Error, Row, Table, Write};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use rustc_hash::FxBuildHasher;

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g) % 60, u8::arbitrary(g) % 60);
        // Repeated kinds are those without which no change makes progress.
        match u8::arbitrary(g) % 48 {
            0..=3 => Self::Tick(u16::from(a) * 30),
            4 => Self::Tick(12_000),
            5 | 6 => Self::Read(a),
            7 => Self::HoldRead(a),
            8..=11 => Self::Pull(a, b),
            12 => Self::HoldPull(a, b),
            13 | 14 => Self::Release(a),
            15 | 16 => Self::Propose(a),
            17 => Self::ProposeVoters(a),
            18..=27 => Self::Prepare(a, b),
            28 => Self::PrepareLost(a, b),
            29..=32 => Self::Write(a),
            33..=36 => Self::Effect(a),
            37 => Self::Commit(a, b),
            38 => Self::Abort(a, b),
            39 => Self::Fence(a),
            40 => Self::Fetch(a, b),
            41 => Self::Crash(a),
            42 => Self::Restart(a),
            43 => Self::Pause(a),
            44 => Self::Resume(a),
            45 => Self::Retire(a, b),
            46 => Self::Store(a),
            _ => Self::Link(a, b),
        }
    }
}

/// Guards against any interleaving in which an instance goes on under an outdated version.
#[test]
fn no_interleaving_breaks_the_rule() {
    static WORST: Mutex<(Duration, u64, u64)> = Mutex::new((Duration::ZERO, 0, 0));
    fn property(nodes: u8, steps: Vec<Step>) -> TestResult {
        let mut world = World::new(3 + nodes as usize % 3);
        let mut revisions = vec![0; world.nodes.len()];
        for (place, step) in steps.into_iter().enumerate() {
            world.step(step);
            if let Err(error) = world.check() {
                return TestResult::error(format!("after step {place} {step:?}: {error}"));
            }
            for (node, last) in world.nodes.iter().zip(&mut revisions) {
                let number = node.state.revision().map_or(0, |revision| revision.number);
                if number < *last && !matches!(step, Step::Restart(_)) {
                    return TestResult::error(format!("reverts from {last} to {number}"));
                }
                *last = number;
            }
        }
        let mut worst = WORST.lock().unwrap();
        worst.0 = worst.0.max(world.worst);
        worst.1 += world.admitted;
        worst.2 += u64::from(world.row.number > 1);
        match world.heal() {
            Ok(()) => TestResult::passed(),
            Err(error) => TestResult::error(error),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(240, 0x636f_6e66))
        .tests(6_000)
        .quickcheck(property as fn(u8, Vec<Step>) -> TestResult);
    let (worst, admitted, changed) = *WORST.lock().unwrap();
    println!("random: worst time to take effect {worst:?}, {admitted} admissions checked");
    println!("random: {changed} of 6000 runs wrote the head");
    assert!(
        changed > 1000 && worst > Duration::from_secs(2),
        "the runs exercise too little"
    );
}

/// Guards against each fault in a sequence of events that needs that fault to be handled.
#[test]
fn no_listed_fault_breaks_the_rule() {
    use Step::*;
    let propose = [Propose(0), Prepare(0, 0), Prepare(0, 1), Write(0)];
    let wait = [Tick(1500), Pull(2, 1), Tick(1500), Pull(2, 1), Tick(1500)];
    let effect = [Effect(0)];
    let ask = [Tick(1500), Pull(1, 0), Tick(1500), Pull(1, 0), Tick(1500)];
    // Name, instances, events, version in force at the end.
    let cases: [(&str, usize, Vec<&[Step]>, u64); 12] = [
        (
            "instance cut off from the store",
            3,
            vec![&propose, &effect, &wait],
            2,
        ),
        (
            "old head read while the write is under way",
            3,
            vec![&propose, &[Read(1)], &effect, &wait],
            2,
        ),
        (
            "late answer to a pull",
            3,
            vec![
                &[HoldPull(2, 1)],
                &propose,
                &effect,
                &[Tick(2900), Release(0), Tick(1500)],
            ],
            2,
        ),
        (
            "late answer to a head read",
            3,
            vec![
                &[HoldRead(2)],
                &propose,
                &effect,
                &[Tick(2900), Release(0), Tick(1500)],
            ],
            2,
        ),
        (
            "acknowledged, then crashed and restarted",
            3,
            vec![
                &propose,
                &[Crash(1), Restart(1)],
                &effect,
                &[Fetch(1, 2)],
                &wait,
            ],
            2,
        ),
        (
            "acknowledged, then retired",
            3,
            vec![
                &propose,
                &effect,
                &[Retire(1, 0xff), Retire(0, 0xff)],
                &wait,
            ],
            2,
        ),
        (
            "retired voters are left out by both sides",
            3,
            vec![
                &[
                    Retire(0, 0xff),
                    Retire(1, 0xff),
                    Restart(0),
                    Read(0),
                    Fetch(0, 2),
                ],
                &[Propose(0), Write(0)],
                &effect,
                &wait,
            ],
            1,
        ),
        (
            "left out while stopped, then resumed",
            5,
            vec![
                &[Pause(0), Pause(1), Pause(2), Tick(12_000), Propose(3)],
                &[
                    Prepare(0, 3),
                    Prepare(0, 4),
                    Write(0),
                    Effect(0),
                    Tick(4000),
                ],
                &[Resume(0), Resume(1), Resume(2), Pull(0, 1), Pull(0, 2)],
            ],
            2,
        ),
        (
            "second change by voters that the first one added",
            5,
            vec![
                &[Retire(2, 0xff), Retire(3, 0xff), Retire(4, 0xff)],
                &[Restart(2), Restart(3), Restart(4), ProposeVoters(0)],
                &[
                    Prepare(0, 0),
                    Prepare(0, 1),
                    Write(0),
                    Effect(0),
                    Prepare(0, 2),
                    Commit(0, 2),
                ],
                &[
                    Propose(2),
                    Prepare(0, 2),
                    Prepare(0, 3),
                    Prepare(0, 4),
                    Write(0),
                    Effect(0),
                ],
                &ask,
            ],
            3,
        ),
        (
            "write that arrives after a fence",
            3,
            vec![&propose, &[Tick(2500), Fence(1), Read(1)], &effect, &wait],
            1,
        ),
        (
            "committer crashed before the write",
            3,
            vec![&propose[..3], &[Crash(0), Write(0)], &effect, &wait],
            1,
        ),
        (
            "committer crashed after the write",
            3,
            vec![&propose, &effect, &[Crash(0)], &wait],
            2,
        ),
    ];
    for (name, count, steps, version) in cases {
        let mut world = World::new(count);
        for step in steps.concat() {
            world.step(step);
            world
                .check()
                .unwrap_or_else(|error| panic!("{name}: {step:?}: {error}"));
        }
        assert_eq!(
            world.row.head.version, version,
            "{name}: events did not happen as listed"
        );
        let worst = world.worst;
        world
            .heal()
            .unwrap_or_else(|error| panic!("{name}: {error}"));
        println!("{name}: worst time to take effect {worst:?}");
    }
}

/// Guards against a store outage during a commit stopping the whole fleet.
#[test]
fn fleet_goes_on_under_both_versions_while_the_result_is_unknown() {
    use Step::*;
    let mut world = World::new(3);
    // The third instance misses the proposal and has to fetch it.
    for step in [Propose(0), Prepare(0, 0), Prepare(0, 1), Write(0)] {
        world.step(step);
    }
    (0..3).for_each(|n| world.step(Store(n)));
    for _ in 0..3600 {
        world.step(Tick(1000));
        for (n, peer) in (0..3).flat_map(|n| (0..3).map(move |peer| (n, peer))) {
            world.step(Pull(n, peer));
            world.step(Fetch(n, peer));
        }
        for node in &world.nodes {
            assert!(node.state.is_fresh(world.now), "{node:?}");
            assert_eq!(node.state.enforced().count(), 2);
        }
    }
    world.step(Effect(0));
    world.heal().unwrap();
    assert_eq!(world.row.head.version, 2);
}

/// Guards against a store that answers with an older head than it showed before.
#[test]
fn older_head_is_no_evidence() {
    let mut state = State::example("x", &["a"], Instant::default());
    let old = state.revision().unwrap();
    state.on_commit(
        Instant::default(),
        &Revision {
            number: 2,
            ..old.clone()
        },
    );
    let later = Instant::default() + FRESHNESS * 2;
    state.on_head_read(later, later, &old);
    assert!(!state.is_fresh(later));
    assert_eq!(state.revision().unwrap().number, 2);
}

/// Visits every state that `steps` reach in `depth` steps; returns their number.
fn search(world: World, depth: usize, steps: impl Fn(&World) -> Vec<Step>) -> (usize, Duration) {
    let mut seen: Set<u64> = Set::default();
    seen.insert(FxBuildHasher.hash_one(&world));
    let mut layer = vec![(world, Vec::new())];
    let mut worst = Duration::ZERO;
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in layer {
            for step in steps(&world) {
                let mut world = world.clone();
                world.step(step);
                let mut path: Vec<Step> = path.clone();
                path.push(step);
                world
                    .check()
                    .unwrap_or_else(|error| panic!("{path:?}: {error}"));
                worst = worst.max(std::mem::take(&mut world.worst));
                world.admitted = 0;
                if seen.insert(FxBuildHasher.hash_one(&world)) {
                    next.push((world, path));
                }
            }
        }
        layer = next;
    }
    (seen.len(), worst)
}

/// Guards against any state that breaks the rule within reach of typical beginnings.
///
/// The last instance is cut off from the store, so only peers tell it of changes.
#[test]
fn no_reachable_state_breaks_the_rule() {
    use Step::{Effect, Prepare, Propose, Tick, Write};
    let sent = [Propose(0), Prepare(0, 0), Prepare(0, 1), Write(0)];
    let raced = [Propose(0), Prepare(0, 0), Prepare(0, 1), Write(0)].repeat(2);
    let accepted = [&sent[..], &[Effect(0), Tick(1500)]].concat();
    let cases = [
        ("two voters, nothing yet", 2, vec![], 7),
        ("two voters, write under way", 2, sent.to_vec(), 7),
        ("three voters, nothing yet", 3, vec![], 5),
        ("three voters, write under way", 3, sent.to_vec(), 5),
        ("three voters, two writes under way", 3, raced, 5),
        ("three voters, accepted and nobody knows", 3, accepted, 5),
    ];
    std::thread::scope(|scope| {
        for (name, count, begin, depth) in cases {
            scope.spawn(move || {
                let mut world = World::new(count);
                let end = world.now + Duration::from_secs(6);
                world.nodes[count - 1].store = false;
                begin.into_iter().for_each(|step| world.step(step));
                let last = u8::try_from(count - 1).unwrap();
                let (states, worst) = search(world, depth, |world| {
                    let mut out = vec![Step::Read(0), Step::Fence(0), Write(0), Effect(0)];
                    out.extend([
                        Write(1),
                        Effect(1),
                        Step::HoldPull(last, 0),
                        Step::Release(0),
                    ]);
                    out.extend([
                        Step::Crash(0),
                        Step::Restart(0),
                        Step::Retire(last - 1, 0xff),
                    ]);
                    if world.now < end {
                        out.push(Tick(1500));
                    }
                    if world.sequence < 3 {
                        out.extend([Propose(0), Step::ProposeVoters(0)]);
                    }
                    for n in 0..=last {
                        out.extend([Prepare(0, n), Prepare(1, n), Step::Abort(0, n)]);
                        out.push(Step::Commit(0, n));
                        out.extend((0..=last).map(|peer| Step::Pull(n, peer)));
                    }
                    out
                });
                println!("{name}: {states} states in {depth} steps, worst time {worst:?}");
                assert!(states > 5_000, "{name}: the search reaches too little");
            });
        }
    });
}

/// Rows in memory, with one fault per transaction.
struct Rows {
    rows: Mutex<BTreeMap<Arc<str>, Row>>,
    faults: Mutex<Vec<Fault>>,
}

/// What happens to one transaction.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Nothing is written and the caller knows it.
    Down,
    /// The answer is lost before the write.
    LostBefore,
    /// The answer is lost after the write.
    LostAfter,
    /// Another committer's change comes first.
    Raced,
    /// An instance fences the proposal first.
    Fenced,
}

impl Rows {
    fn new(faults: &[Fault]) -> Self {
        let faults = Mutex::new(faults.iter().rev().copied().collect());
        Self {
            rows: Mutex::default(),
            faults,
        }
    }

    fn apply(&self, writes: &[Write]) -> Result<Vec<u64>, Error> {
        let mut rows = self.rows.lock().unwrap();
        for write in writes {
            let version = rows.get(&write.key).map(|row| row.version);
            let holds = match write.condition {
                Condition::Any => true,
                Condition::Absent => version.is_none(),
                Condition::Version(number) => version == Some(number),
            };
            if !holds {
                return Err(Error::Conflict {
                    key: write.key.clone(),
                });
            }
        }
        Ok(writes
            .iter()
            .map(|write| {
                let version = rows.get(&write.key).map_or(1, |row| row.version + 1);
                let (key, value) = (write.key.clone(), write.value.clone().unwrap());
                rows.insert(
                    key.clone(),
                    Row {
                        key,
                        version,
                        value,
                    },
                );
                version
            })
            .collect())
    }

    /// Rewrites the head as a fence, or as another committer's change.
    fn interfere(&self, raced: bool) {
        let row = self.rows.lock().unwrap()[HEAD_KEY].clone();
        let head = Head::from_json(&row.value).unwrap();
        let origin = Origin::new(Operation(99), "other", 0);
        let head = if raced {
            head.with_digest(head.digest, &origin)
        } else {
            head
        };
        self.apply(&[Write::put(HEAD_KEY, Condition::Any, &head.to_json())])
            .unwrap();
    }
}

impl Table for Rows {
    fn transact(&self, writes: Vec<Write>) -> Answer<'_, Vec<u64>> {
        let fault = self.faults.lock().unwrap().pop().unwrap_or(Fault::None);
        let (step, peer, reason) = ("transact", Arc::from("store"), String::new());
        let answer = match fault {
            Fault::Down => Err(Error::Unavailable { step, peer, reason }),
            Fault::LostBefore => Err(Error::Unknown { step, peer, reason }),
            Fault::LostAfter => {
                let lost = Error::Unknown { step, peer, reason };
                self.apply(&writes).and(Err(lost))
            }
            Fault::Raced | Fault::Fenced => {
                self.interfere(fault == Fault::Raced);
                self.apply(&writes)
            }
            Fault::None => self.apply(&writes),
        };
        Box::pin(async move { answer })
    }

    fn read(&self, key: Arc<str>) -> Answer<'_, Option<Row>> {
        let row = self.rows.lock().unwrap().get(&key).cloned();
        Box::pin(async move { Ok(row) })
    }

    fn scan(&self, _: Arc<str>, _: Arc<str>, _: usize) -> Answer<'_, Vec<Row>> {
        Box::pin(async move { Ok(Vec::new()) })
    }
}

/// Guards against telling an operator anything but what became of the write.
#[tokio::test(start_paused = true)]
async fn outcome_is_true_for_each_fault_of_the_store() {
    use Fault::{Down, Fenced, LostAfter, LostBefore, Raced};
    let cases: [(&str, &[Fault], &str); 11] = [
        ("no fault", &[], "accepted"),
        ("down at first", &[Down, Down], "accepted"),
        ("down throughout", &[Down; 4], "refused"),
        ("answer lost after the write", &[LostAfter], "accepted"),
        ("answer lost before the write", &[LostBefore], "accepted"),
        (
            "answer lost, then down",
            &[LostAfter, Down, Down, Down],
            "unknown",
        ),
        ("answers lost throughout", &[LostBefore; 4], "unknown"),
        ("another change came first", &[Raced], "conflict"),
        ("fenced", &[Fenced], "fenced"),
        (
            "lost before the write, then fenced",
            &[LostBefore, Fenced],
            "fenced",
        ),
        (
            "lost after the write, then replaced",
            &[LostAfter, Raced],
            "accepted",
        ),
    ];
    for (name, faults, expected) in cases {
        let voter = Voter::new("a", 1);
        let table = Rows::new(&[&[Fault::None], faults].concat());
        let origin = Origin::new(Operation(1), "ana", 0);
        let first = Commit::first(&table, "{}", voter.clone(), &origin).await;
        let Outcome::Accepted(base) = first else {
            panic!("{name}: {first:?}")
        };
        let origin = Origin::new(Operation(2), "ana", 0);
        let mut commit = Commit::document(base, "[]", &origin);
        commit.on_ack(&Ack::Acknowledged(voter));
        let outcome = commit.settle(&table).await;
        let found = match &outcome {
            Outcome::Accepted(revision) if revision.head.operation == Operation(2) => "accepted",
            Outcome::Conflict(revision) if revision.head.operation == Operation(99) => "conflict",
            Outcome::Refused(Reason::Fenced) => "fenced",
            Outcome::Refused(Reason::Unavailable(_)) => "refused",
            Outcome::Unknown(Operation(2)) => "unknown",
            _ => "wrong",
        };
        assert_eq!(found, expected, "{name}: {outcome:?}");
        let may_abort = commit.abort().is_some();
        assert_eq!(may_abort, expected == "refused", "{name}: abort");
        let written = table.rows.lock().unwrap().contains_key(&*Change::key(2));
        assert!(
            expected == "unknown" || written == (expected == "accepted"),
            "{name}: history"
        );
    }
}

/// Guards against the second of two instances that both find the store empty taking over.
#[tokio::test(start_paused = true)]
async fn first_head_is_written_once() {
    let table = Rows::new(&[Fault::LostAfter]);
    let origin = Origin::new(Operation(1), "a", 0);
    let first = Commit::first(&table, "{}", Voter::new("a", 1), &origin).await;
    assert!(
        matches!(&first, Outcome::Accepted(r) if r.number == 1),
        "{first:?}"
    );
    let origin = Origin::new(Operation(2), "b", 0);
    let second = Commit::first(&table, "[]", Voter::new("b", 1), &origin).await;
    assert!(matches!(&second, Outcome::Conflict(r) if r.head.operation == Operation(1)));
}

/// Guards against leaving a running voter out of the count.
#[test]
fn voter_has_ended_only_after_an_uninterrupted_omission() {
    let second = |n: u64| Instant::from_start(Duration::from_secs(n));
    let every = |from: u64, to: u64, step: usize| (from..=to).step_by(step).collect::<Vec<_>>();
    let cases = [
        ("30 s", every(0, 30, 5), None, true),
        ("29 s", every(0, 29, 1), None, false),
        ("shown in between", every(0, 30, 5), Some(15), false),
        ("reads too far apart", every(0, 60, 12), None, false),
        (
            "a gap starts anew",
            [every(0, 25, 5), every(40, 65, 5)].concat(),
            None,
            false,
        ),
    ];
    let voters = [Voter::new("a", 1)];
    for (name, reads, shown, expected) in cases {
        let mut presence = Presence::default();
        for at in reads {
            let names = shown.filter(|shown| *shown == at).map(|_| "a".into());
            presence.on_list(
                second(at),
                second(at),
                &voters,
                &names.into_iter().collect(),
            );
        }
        assert_eq!(presence.has_ended(&voters[0]), expected, "{name}");
    }
}

/// Guards against control traffic and work that grow out of bounds at the target size.
#[test]
fn affirmation_is_small_at_target_size() {
    let names: Vec<String> = (0..136).map(|n| format!("entry-{n:03}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let now = Instant::from_start(Duration::from_secs(100));
    let mut sender = State::example(names[0], &names, now);
    let mut receiver = State::example(names[1], &names, now);
    for sequence in 2..10 {
        let origin = Origin::new(Operation(sequence), "ana", 0);
        let commit = Commit::document(sender.revision().unwrap(), "[]", &origin);
        sender.on_prepare(now, commit.prepare());
    }
    let ages = sender.on_pull(now);
    // Position, vote and length prefixes take at most 48 bytes in any compact encoding.
    let size = ages.ages.len() + ages.pending.len() * 18 + ages.from.name.len() + 8 + 48;
    assert!(size < 400, "{size} bytes");
    assert_eq!((ages.ages.len(), ages.pending.len()), (136, MAX_PENDING));
    let begin = std::time::Instant::now();
    (0..1000).for_each(|_| receiver.on_ages(now, now, &ages));
    println!(
        "reply of {size} bytes, taken in {:?}",
        begin.elapsed() / 1000
    );
}

/// Guards against a head row that is not understood being taken for one that is.
#[test]
fn malformed_heads_are_rejected() {
    let json = State::example("a", &["a"], Instant::default())
        .revision()
        .unwrap()
        .head
        .to_json();
    assert!(Head::from_json(&json).is_ok());
    for (from, to) in [
        ("\"version\":1", "\"version\":-1"),
        ("{", "{\"more\":1,"),
        ("0001", "1"),
    ] {
        assert!(
            Head::from_json(&json.replacen(from, to, 1)).is_err(),
            "{from} as {to}"
        );
    }
}
