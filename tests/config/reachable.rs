//! All states of the model that a few steps reach.

use std::hash::BuildHasher;
use std::time::Duration;

use coriandernotch::collections::Set;
use rustc_hash::FxBuildHasher;

use super::model::{Model, Step};

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
