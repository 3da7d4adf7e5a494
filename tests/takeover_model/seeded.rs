use std::sync::atomic::{AtomicU64, Ordering};

use crate::scenario::Scenario;
use crate::world::World;

/// Number of seeds unless `TAKEOVER_SEEDS` names another one.
const SEEDS: u64 = 300;

/// Number of threads that run simulations.
const THREADS: usize = 3;

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against takeovers that start tasks twice or never, in random coincidences of faults.
#[test]
fn random_faults_break_no_rule() {
    check_seeds(Scenario::random);
}

/// Guards against the same when leaders also make way for other instances, some of them while they
/// still load their state.
#[test]
fn random_transfers_break_no_rule() {
    check_seeds(Scenario::random_transfers);
}

/// Guards against takeovers that start tasks twice or never while a third of the workers or more are
/// silent, with lists that are divided over rows, shortened or left out.
#[test]
fn silent_workers_break_no_rule() {
    check_seeds(Scenario::random_silent);
}

/// Guards against a resignation that leaves out an end which was read during the last write: it was
/// taken for stored, and the next leader started the task again.
#[test]
fn a_resignation_while_the_store_is_slow_loses_no_end() {
    check_seeds(Scenario::random_slow_store);
}

/// Guards against a leader whose task panics at the run of a job that is gone, and against scheduled
/// jobs with copies or gangs that do not end, in random coincidences of faults.
#[test]
fn scheduled_jobs_end_after_random_faults() {
    check_seeds(Scenario::random_scheduled);
}

/// Guards against lasting tasks that have no run although nothing disturbs the system any more, in
/// random coincidences of faults and losses of workers.
#[test]
fn lasting_tasks_run_after_random_faults() {
    check_seeds(Scenario::random_lasting);
}

fn check_seeds(scenario: impl Fn(u64) -> Scenario + Sync) {
    let seeds = match setting("TAKEOVER_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..setting("TAKEOVER_SEEDS").unwrap_or(SEEDS),
    };
    let next = AtomicU64::new(seeds.start);
    let run_seeds = || {
        let mut failures = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return failures;
            }
            if let Err(violation) = World::new(scenario(seed)).run() {
                failures.push((seed, violation));
            }
        }
    };
    let mut failures = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(run_seeds)).collect();
        let results = threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap());
        results.collect::<Vec<_>>()
    });
    failures.sort_by_key(|(seed, _)| *seed);
    for (seed, violation) in &failures {
        eprintln!("TAKEOVER_SEED={seed}: {violation:?}");
    }
    let count = seeds.end - seeds.start;
    assert!(
        failures.is_empty(),
        "{} of {count} seeds failed",
        failures.len()
    );
}
