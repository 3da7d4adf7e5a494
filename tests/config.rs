//! Tests of configuration versions: searches over interleavings, and tables of faults.

mod config_model;

use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use config_model::{Model, Step};
use coriandernotch::clock::Instant;
use coriandernotch::collections::Set;
use coriandernotch::config::*;
use coriandernotch::platform::{Answer, Condition, Error, Row, Table, Write};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use rustc_hash::FxBuildHasher;

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g) % 60, u8::arbitrary(g) % 60);
        // Steps that a change needs to make progress have a greater weight.
        match u8::arbitrary(g) % 48 {
            0..=3 => Self::Tick(u16::from(a) * 30),
            4 => Self::Tick(12_000),
            5 | 6 => Self::Read(a),
            7 => Self::DelayRead(a),
            8..=11 => Self::Pull(a, b),
            12 => Self::DelayPull(a, b),
            13 | 14 => Self::DeliverDelayed(a),
            15 | 16 => Self::Propose(a),
            17 => Self::ProposeVoters(a),
            18..=27 => Self::Prepare(a, b),
            28 => Self::PrepareLost(a, b),
            29..=32 => Self::SendWrite(a),
            33..=36 => Self::ApplyWrite(a),
            37 => Self::Commit(a, b),
            38 => Self::Abort(a, b),
            39 => Self::Fence(a),
            40 => Self::Fetch(a, b),
            41 => Self::Crash(a),
            42 => Self::Restart(a),
            43 => Self::Pause(a),
            44 => Self::Resume(a),
            45 => Self::Retire(a, b),
            46 => Self::ToggleStore(a),
            _ => Self::ToggleLink(a, b),
        }
    }
}

/// Guards against interleavings in which an instance admits work under an outdated version.
#[test]
fn random_interleavings_never_admit_under_an_outdated_version() {
    // Longest lag of an admission, number of admissions, runs that wrote the head.
    static TOTALS: Mutex<(Duration, u64, u64)> = Mutex::new((Duration::ZERO, 0, 0));
    fn property(nodes: u8, steps: Vec<Step>) -> TestResult {
        let mut model = Model::new(3 + nodes as usize % 3);
        let mut revisions = vec![0; model.nodes.len()];
        for (index, step) in steps.into_iter().enumerate() {
            model.step(step);
            if let Err(error) = model.check() {
                return TestResult::error(format!("after step {index} {step:?}: {error}"));
            }
            for (node, last) in model.nodes.iter().zip(&mut revisions) {
                let number = node.state.revision().map_or(0, |revision| revision.number);
                if number < *last && !matches!(step, Step::Restart(_)) {
                    return TestResult::error(format!("revision reverts from {last} to {number}"));
                }
                *last = number;
            }
        }
        let mut totals = TOTALS.lock().unwrap();
        totals.0 = totals.0.max(model.longest_lag);
        totals.1 += model.admissions;
        totals.2 += u64::from(model.row.number > 1);
        match model.recover() {
            Ok(()) => TestResult::passed(),
            Err(error) => TestResult::error(error),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(240, 0x636f_6e66))
        .tests(6_000)
        .quickcheck(property as fn(u8, Vec<Step>) -> TestResult);
    let (longest_lag, admitted, changed) = *TOTALS.lock().unwrap();
    println!("random: worst time to take effect {longest_lag:?}, {admitted} admissions checked");
    println!("random: {changed} of 6000 runs wrote the head");
    assert!(
        changed > 1000 && longest_lag > Duration::from_secs(2),
        "too few runs change the version, or no instance lags"
    );
}

/// Guards against admission under an outdated version after each listed fault, in a sequence of
/// events in which that fault matters.
#[test]
fn listed_faults_never_admit_under_an_outdated_version() {
    use Step::*;
    let propose_and_write = [Propose(0), Prepare(0, 0), Prepare(0, 1), SendWrite(0)];
    let pull_from_peer = [Tick(1500), Pull(2, 1), Tick(1500), Pull(2, 1), Tick(1500)];
    let apply_write = [ApplyWrite(0)];
    let pull_from_committer = [Tick(1500), Pull(1, 0), Tick(1500), Pull(1, 0), Tick(1500)];
    // Name, number of instances, events, version in the head row after them.
    let cases: [(&str, usize, Vec<&[Step]>, u64); 12] = [
        (
            "instance without access to the store",
            3,
            vec![&propose_and_write, &apply_write, &pull_from_peer],
            2,
        ),
        (
            "old head read while the write is in flight",
            3,
            vec![
                &propose_and_write,
                &[Read(1)],
                &apply_write,
                &pull_from_peer,
            ],
            2,
        ),
        (
            "late reply to a pull",
            3,
            vec![
                &[DelayPull(2, 1)],
                &propose_and_write,
                &apply_write,
                &[Tick(2900), DeliverDelayed(0), Tick(1500)],
            ],
            2,
        ),
        (
            "late reply to a head read",
            3,
            vec![
                &[DelayRead(2)],
                &propose_and_write,
                &apply_write,
                &[Tick(2900), DeliverDelayed(0), Tick(1500)],
            ],
            2,
        ),
        (
            "acknowledged, then crashed and restarted",
            3,
            vec![
                &propose_and_write,
                &[Crash(1), Restart(1)],
                &apply_write,
                &[Fetch(1, 2)],
                &pull_from_peer,
            ],
            2,
        ),
        (
            "acknowledged, then retired",
            3,
            vec![
                &propose_and_write,
                &apply_write,
                &[Retire(1, 0xff), Retire(0, 0xff)],
                &pull_from_peer,
            ],
            2,
        ),
        (
            "retired voters count neither for the quorum nor for freshness",
            3,
            vec![
                &[
                    Retire(0, 0xff),
                    Retire(1, 0xff),
                    Restart(0),
                    Read(0),
                    Fetch(0, 2),
                ],
                &[Propose(0), SendWrite(0)],
                &apply_write,
                &pull_from_peer,
            ],
            1,
        ),
        (
            "excluded while paused, then resumed",
            5,
            vec![
                &[Pause(0), Pause(1), Pause(2), Tick(12_000), Propose(3)],
                &[
                    Prepare(0, 3),
                    Prepare(0, 4),
                    SendWrite(0),
                    ApplyWrite(0),
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
                    SendWrite(0),
                    ApplyWrite(0),
                    Prepare(0, 2),
                    Commit(0, 2),
                ],
                &[
                    Propose(2),
                    Prepare(0, 2),
                    Prepare(0, 3),
                    Prepare(0, 4),
                    SendWrite(0),
                    ApplyWrite(0),
                ],
                &pull_from_committer,
            ],
            3,
        ),
        (
            "write that arrives after a fence",
            3,
            vec![
                &propose_and_write,
                &[Tick(2500), Fence(1), Read(1)],
                &apply_write,
                &pull_from_peer,
            ],
            1,
        ),
        (
            "committer crashed before the write",
            3,
            vec![
                &propose_and_write[..3],
                &[Crash(0), SendWrite(0)],
                &apply_write,
                &pull_from_peer,
            ],
            1,
        ),
        (
            "committer crashed after the write",
            3,
            vec![
                &propose_and_write,
                &apply_write,
                &[Crash(0)],
                &pull_from_peer,
            ],
            2,
        ),
    ];
    for (name, instances, events, version) in cases {
        let mut model = Model::new(instances);
        for step in events.concat() {
            model.step(step);
            model
                .check()
                .unwrap_or_else(|error| panic!("{name}: {step:?}: {error}"));
        }
        assert_eq!(
            model.row.head.version, version,
            "{name}: the events did not have the listed result"
        );
        let longest_lag = model.longest_lag;
        model
            .recover()
            .unwrap_or_else(|error| panic!("{name}: {error}"));
        println!("{name}: worst time to take effect {longest_lag:?}");
    }
}

/// Guards against a store outage during a commit that stops admission on all instances.
#[test]
fn admission_continues_under_both_versions_while_the_result_is_unknown() {
    use Step::*;
    let mut model = Model::new(3);
    // The third instance does not receive the proposal and has to fetch it.
    for step in [Propose(0), Prepare(0, 0), Prepare(0, 1), SendWrite(0)] {
        model.step(step);
    }
    (0..3).for_each(|n| model.step(ToggleStore(n)));
    for _ in 0..3600 {
        model.step(Tick(1000));
        for (n, peer) in (0..3).flat_map(|n| (0..3).map(move |peer| (n, peer))) {
            model.step(Pull(n, peer));
            model.step(Fetch(n, peer));
        }
        for node in &model.nodes {
            assert!(node.state.is_fresh(model.now), "{node:?}");
            assert_eq!(node.state.enforced().count(), 2);
        }
    }
    model.step(ApplyWrite(0));
    model.recover().unwrap();
    assert_eq!(model.row.head.version, 2);
}

/// Guards against a store that returns an older head than the newest one known.
#[test]
fn older_head_is_no_evidence_of_freshness() {
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

/// Visits every state that is reachable by at most `depth` of the steps that `steps` lists.
///
/// Returns the number of states and the longest lag of an admission.
fn search(model: Model, depth: usize, steps: impl Fn(&Model) -> Vec<Step>) -> (usize, Duration) {
    let mut seen: Set<u64> = Set::default();
    seen.insert(FxBuildHasher.hash_one(&model));
    let mut layer = vec![(model, Vec::new())];
    let mut longest_lag = Duration::ZERO;
    for _ in 0..depth {
        let mut next = Vec::new();
        for (model, path) in layer {
            for step in steps(&model) {
                let mut model = model.clone();
                model.step(step);
                let mut path: Vec<Step> = path.clone();
                path.push(step);
                model
                    .check()
                    .unwrap_or_else(|error| panic!("{path:?}: {error}"));
                longest_lag = longest_lag.max(std::mem::take(&mut model.longest_lag));
                model.admissions = 0;
                if seen.insert(FxBuildHasher.hash_one(&model)) {
                    next.push((model, path));
                }
            }
        }
        layer = next;
    }
    (seen.len(), longest_lag)
}

/// Guards against states reachable from typical initial states in which an instance admits work
/// under an outdated version.
///
/// The last instance has no access to the store, so that it learns of changes only from peers.
#[test]
fn reachable_states_never_admit_under_an_outdated_version() {
    use Step::{ApplyWrite, Prepare, Propose, SendWrite, Tick};
    let write_sent = [Propose(0), Prepare(0, 0), Prepare(0, 1), SendWrite(0)];
    let two_writes_sent = [Propose(0), Prepare(0, 0), Prepare(0, 1), SendWrite(0)].repeat(2);
    let accepted = [&write_sent[..], &[ApplyWrite(0), Tick(1500)]].concat();
    let cases = [
        ("two voters, no change yet", 2, vec![], 7),
        ("two voters, write in flight", 2, write_sent.to_vec(), 7),
        ("three voters, no change yet", 3, vec![], 5),
        ("three voters, write in flight", 3, write_sent.to_vec(), 5),
        ("three voters, two writes in flight", 3, two_writes_sent, 5),
        (
            "three voters, accepted and not yet known to any",
            3,
            accepted,
            5,
        ),
    ];
    std::thread::scope(|scope| {
        for (name, instances, initial_steps, depth) in cases {
            scope.spawn(move || {
                let mut model = Model::new(instances);
                let end = model.now + Duration::from_secs(6);
                model.nodes[instances - 1].store_reachable = false;
                initial_steps.into_iter().for_each(|step| model.step(step));
                let last = u8::try_from(instances - 1).unwrap();
                let (states, longest_lag) = search(model, depth, |model| {
                    let mut next_steps =
                        vec![Step::Read(0), Step::Fence(0), SendWrite(0), ApplyWrite(0)];
                    next_steps.extend([
                        SendWrite(1),
                        ApplyWrite(1),
                        Step::DelayPull(last, 0),
                        Step::DeliverDelayed(0),
                    ]);
                    next_steps.extend([
                        Step::Crash(0),
                        Step::Restart(0),
                        Step::Retire(last - 1, 0xff),
                    ]);
                    if model.now < end {
                        next_steps.push(Tick(1500));
                    }
                    if model.last_sequence < 3 {
                        next_steps.extend([Propose(0), Step::ProposeVoters(0)]);
                    }
                    for n in 0..=last {
                        next_steps.extend([Prepare(0, n), Prepare(1, n), Step::Abort(0, n)]);
                        next_steps.push(Step::Commit(0, n));
                        next_steps.extend((0..=last).map(|peer| Step::Pull(n, peer)));
                    }
                    next_steps
                });
                println!("{name}: {states} states in {depth} steps, worst time {longest_lag:?}");
                assert!(states > 5_000, "{name}: the search reaches too few states");
            });
        }
    });
}

/// In-memory table that injects one fault into each transaction.
struct Rows {
    rows: Mutex<BTreeMap<Arc<str>, Row>>,
    faults: Mutex<Vec<Fault>>,
}

/// Fault injected into one transaction.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The store is unavailable: nothing is written, and the caller is told so.
    Down,
    /// The connection is lost before the write; the caller does not learn the result.
    LostBefore,
    /// The connection is lost after the write; the caller does not learn the result.
    LostAfter,
    /// Another committer's change is written first.
    Raced,
    /// An instance writes a fence first.
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
            let condition_holds = match write.condition {
                Condition::Any => true,
                Condition::Absent => version.is_none(),
                Condition::Version(number) => version == Some(number),
            };
            if !condition_holds {
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

    /// Writes another committer's change of the head if `raced`, or else a fence.
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

/// Guards against an outcome reported to an operator that differs from the result of the write.
#[tokio::test(start_paused = true)]
async fn outcome_matches_the_write_after_each_store_fault() {
    use Fault::{Down, Fenced, LostAfter, LostBefore, Raced};
    let cases: [(&str, &[Fault], &str); 11] = [
        ("no fault", &[], "accepted"),
        ("down at first", &[Down, Down], "accepted"),
        ("down throughout", &[Down; 4], "refused"),
        ("reply lost after the write", &[LostAfter], "accepted"),
        ("reply lost before the write", &[LostBefore], "accepted"),
        (
            "reply lost, then down",
            &[LostAfter, Down, Down, Down],
            "unknown",
        ),
        ("replies lost throughout", &[LostBefore; 4], "unknown"),
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

/// Guards against two instances that both find the store empty: the second must not replace the
/// head of the first.
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

/// Guards against excluding a running voter from the quorum.
#[test]
fn voter_has_ended_only_after_a_continuous_omission() {
    let at_second = |n: u64| Instant::from_start(Duration::from_secs(n));
    let read_seconds =
        |from: u64, to: u64, step: usize| (from..=to).step_by(step).collect::<Vec<_>>();
    let cases = [
        ("30 s", read_seconds(0, 30, 5), None, true),
        ("29 s", read_seconds(0, 29, 1), None, false),
        ("listed in between", read_seconds(0, 30, 5), Some(15), false),
        ("reads too far apart", read_seconds(0, 60, 12), None, false),
        (
            "a gap restarts the measurement",
            [read_seconds(0, 25, 5), read_seconds(40, 65, 5)].concat(),
            None,
            false,
        ),
    ];
    let voters = [Voter::new("a", 1)];
    for (name, reads, listed_at, expected) in cases {
        let mut presence = Presence::default();
        for at in reads {
            let names = listed_at
                .filter(|listed_at| *listed_at == at)
                .map(|_| "a".into());
            presence.on_list(
                at_second(at),
                at_second(at),
                &voters,
                &names.into_iter().collect(),
            );
        }
        assert_eq!(presence.has_ended(&voters[0]), expected, "{name}");
    }
}

/// Guards against affirmations that are too large, or keep too many proposals, at the target size
/// of 136 entry instances.
#[test]
fn affirmation_size_is_limited_with_136_voters() {
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
    let affirmation = sender.on_pull(now);
    // Position, vote and length prefixes take at most 48 bytes in any compact encoding.
    let size = affirmation.ages.len()
        + affirmation.pending.len() * 18
        + affirmation.from.name.len()
        + 8
        + 48;
    assert!(size < 400, "{size} bytes");
    assert_eq!(
        (affirmation.ages.len(), affirmation.pending.len()),
        (136, MAX_PENDING)
    );
    let started = std::time::Instant::now();
    (0..1000).for_each(|_| receiver.on_ages(now, now, &affirmation));
    println!(
        "affirmation of {size} bytes, applied in {:?}",
        started.elapsed() / 1000
    );
}

/// Guards against accepting a head row with a negative number, an unknown field or a malformed
/// operation.
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
