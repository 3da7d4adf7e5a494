use std::sync::atomic::{AtomicU32, Ordering};

use quickcheck::{Gen, QuickCheck, TestResult};

use super::step::Step;
use super::world::World;

/// Units started over all cases, so that a fleet that never runs anything cannot pass.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// Guards against any order of operations, message losses, duplicates, pauses, restarts and
/// version changes by which more units run than the limit allows.
#[test]
fn running_never_exceeds_the_limit() {
    for nodes in 2..=4 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(400, 0x5eed + nodes as u64))
            .tests(2_000)
            .max_tests(2_000)
            .quickcheck(match nodes {
                2 => holds::<2> as fn(Vec<Step>) -> TestResult,
                3 => holds::<3>,
                _ => holds::<4>,
            });
    }
    let started = STARTED.load(Ordering::Relaxed);
    assert!(started > 20_000, "only {started} units started");
}

fn holds<const NODES: usize>(steps: Vec<Step>) -> TestResult {
    let mut world = World::new(NODES, 4);
    for step in steps {
        world.apply(within(step, NODES));
        if !world.holds() {
            return TestResult::error(format!("{step:?} at {:?}", world.now));
        }
    }
    STARTED.fetch_add(world.total, Ordering::Relaxed);
    TestResult::passed()
}

/// Guards against permits that are lost for good: after any history, once faults have ceased and
/// the longest run has passed, one node gets the whole limit.
#[test]
fn all_permits_are_usable_after_faults() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 0xfa17))
        .tests(1_000)
        .max_tests(1_000)
        .quickcheck(recovers as fn(Vec<Step>) -> TestResult);
}

fn recovers(steps: Vec<Step>) -> TestResult {
    let mut world = World::new(3, 4);
    for step in steps {
        world.apply(within(step, 3));
    }
    for n in 0..3 {
        world.apply(Step::Resume(n));
        world.apply(Step::Start(n));
        if world.nodes[n].ledger.is_retired() {
            world.apply(Step::Crash(n));
        }
    }
    world.apply(Step::Propose(4, 7, 10));
    world.apply(Step::Commit);
    (0..world.versions.len()).for_each(|_| world.apply(Step::Sync));
    world.apply(Step::Pass(30_000));
    (0..3).for_each(|_| world.apply(Step::Sync));
    world.apply(Step::Run(0, 4));
    for _ in 0..3 {
        world.apply(Step::Pass(60));
        world.apply(Step::Sync);
        world.apply(Step::Run(0, 4));
    }
    match world.running() {
        4 => TestResult::passed(),
        other => TestResult::error(format!("{other} of 4 run: {:#?}", world.nodes)),
    }
}

/// Maps the node of a step into a smaller fleet.
fn within(mut step: Step, nodes: usize) -> Step {
    if let Some(node) = step.node() {
        *node %= nodes;
    }
    step
}
