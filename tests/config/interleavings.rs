//! Random and listed orders of events over the model.

use std::sync::Mutex;
use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::config::*;
use quickcheck::{Gen, QuickCheck, TestResult};

use super::model::{Model, Step};

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
