use std::sync::atomic::{AtomicU32, Ordering};

use quickcheck::{Gen, QuickCheck, TestResult};

use super::simulation::Simulation;
use super::step::Step;

/// Units started over all cases, so that a fleet that never starts a unit cannot pass.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// Guards against an order of operations, message losses, duplicates, pauses, restarts and version
/// changes in which more units run than the limit allows.
#[test]
fn running_never_exceeds_the_limit() {
    for nodes in 2..=4 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(400, 0x5eed + nodes as u64))
            .tests(2_000)
            .max_tests(2_000)
            .quickcheck(match nodes {
                2 => check_limit::<2> as fn(Vec<Step>) -> TestResult,
                3 => check_limit::<3>,
                _ => check_limit::<4>,
            });
    }
    let started = STARTED.load(Ordering::Relaxed);
    assert!(started > 20_000, "only {started} units started");
}

fn check_limit<const NODES: usize>(steps: Vec<Step>) -> TestResult {
    let mut simulation = Simulation::new(NODES, 4);
    for step in steps {
        simulation.apply(with_valid_node(step, NODES));
        if !simulation.limit_is_respected() {
            return TestResult::error(format!("{step:?} at {:?}", simulation.now));
        }
    }
    STARTED.fetch_add(simulation.total_started, Ordering::Relaxed);
    TestResult::passed()
}

/// Guards against permits that are lost permanently: after any history, once faults have ceased and
/// the longest run has passed, one node can use the whole limit.
#[test]
fn all_permits_are_usable_after_faults() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 0xfa17))
        .tests(1_000)
        .max_tests(1_000)
        .quickcheck(check_recovery as fn(Vec<Step>) -> TestResult);
}

fn check_recovery(steps: Vec<Step>) -> TestResult {
    let mut simulation = Simulation::new(3, 4);
    for step in steps {
        simulation.apply(with_valid_node(step, 3));
    }
    for n in 0..3 {
        simulation.apply(Step::Resume(n));
        simulation.apply(Step::Start(n));
        if simulation.nodes[n].ledger.is_shutting_down() {
            simulation.apply(Step::Restart(n));
        }
    }
    simulation.apply(Step::Propose(4, 7, 10));
    simulation.apply(Step::Commit);
    (0..simulation.versions.len()).for_each(|_| simulation.apply(Step::Sync));
    simulation.apply(Step::Advance(30_000));
    (0..3).for_each(|_| simulation.apply(Step::Sync));
    simulation.apply(Step::Run(0, 4));
    for _ in 0..3 {
        simulation.apply(Step::Advance(60));
        simulation.apply(Step::Sync);
        simulation.apply(Step::Run(0, 4));
    }
    match simulation.running() {
        4 => TestResult::passed(),
        other => TestResult::error(format!("{other} of 4 run: {:#?}", simulation.nodes)),
    }
}

/// Maps the node of a step to one that exists in a fleet of `nodes` nodes.
fn with_valid_node(mut step: Step, nodes: usize) -> Step {
    if let Some(node) = step.node() {
        *node %= nodes;
    }
    step
}
