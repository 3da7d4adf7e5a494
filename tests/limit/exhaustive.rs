use std::collections::HashSet;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use super::simulation::Simulation;
use super::step::Step::{self, *};

/// Visits every state reachable by at most `depth` of the `steps`, checks in each that the limit is
/// respected, and returns the number of distinct states.
fn explore(start: Simulation, steps: &[Step], depth: u32) -> usize {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    let mut seen = HashSet::new();
    let mut level = vec![start];
    for _ in 0..depth {
        let mut next = Vec::new();
        for simulation in &level {
            for step in steps {
                let mut after = simulation.clone();
                after.apply(*step);
                assert!(
                    after.limit_is_respected(),
                    "{} run after {step:?} in {simulation:#?}",
                    after.running()
                );
                if seen.insert(hasher.hash_one(after.state_key())) {
                    next.push(after);
                }
            }
        }
        level = next;
    }
    println!("{} states", seen.len());
    seen.len()
}

/// Guards against short sequences of events that random interleavings happen to miss: loans with
/// lost and duplicated messages and passing time, from a state in which one permit is lent.
#[test]
fn limit_is_respected_in_every_short_history_of_a_loan() {
    let mut simulation = Simulation::new(2, 2);
    for step in [RunExpecting(1, 2, 1), Tick(1), Deliver(0)] {
        simulation.apply(step);
    }
    let steps = [
        Run(0, 1),
        Run(1, 1),
        Take(1),
        Start(1),
        End(1),
        Tick(0),
        Tick(1),
        Deliver(0),
        Duplicate(0),
        Lose(0),
        Advance(2_600),
        Advance(10_100),
        Restart(1),
    ];
    let states = explore(simulation, &steps, 6);
    assert!(states > 10_000, "only {states} states");
}

/// Guards against short sequences of events that random interleavings happen to miss: changes of
/// voters and limits that the nodes learn of in any order.
#[test]
fn limit_is_respected_in_every_short_history_of_two_changes() {
    let mut simulation = Simulation::new(3, 3);
    for step in [
        RunExpecting(0, 1, 1),
        Propose(3, 0b110, 10),
        Commit,
        Propose(2, 0b111, 10),
    ] {
        simulation.apply(step);
    }
    let steps = [
        Commit,
        Install(0),
        Install(1),
        Install(2),
        InstallNewest(2),
        Prepare(0),
        Run(0, 2),
        Run(1, 2),
        Run(2, 2),
        Report(0),
        Report(2),
        Tick(1),
        DeliverAll,
        Advance(2_900),
        Advance(10_200),
    ];
    let states = explore(simulation, &steps, 5);
    assert!(states > 20_000, "only {states} states");
}
