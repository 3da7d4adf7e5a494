//! Queues that operators remove while jobs of them are in progress.

use coriandernotch::batch::{Config, Record, State, Terms};

use crate::simulation::{Simulation, config, profile, record, route, step};
use crate::takeover::running_progress;

/// Number of failures of one task after which the job in these tests fails.
const MAX_ATTEMPTS: u32 = 2;

/// Creates a job of one task that its queue granted fewer attempts than other queues do.
fn accepted() -> Record {
    let spec = record(vec![step(1)]).spec;
    let queue = coriandernotch::batch::Route {
        max_attempts: MAX_ATTEMPTS,
        ..route("q", "s")
    };
    Record {
        terms: queue.terms(&spec),
        ..record(vec![step(1)])
    }
}

/// Creates the simulation of a leader that reads a stored job of which all runs fail, and finds its
/// queue removed.
fn successor(job: Record) -> Simulation {
    let removed = Config {
        routes: vec![route("r", "t")],
        ..config()
    };
    let mut sim = Simulation::new(2, removed);
    sim.add(profile("i-0", "s"));
    sim.workers.get_mut("i-0").unwrap().fails = true;
    let (wall, now) = (sim.wall_ms(), sim.now);
    let progress = Some(running_progress());
    sim.engine.load_job(&"j".into(), job, progress, wall, now);
    sim.engine.inherit(&[], true, sim.now);
    sim.run(3_000);
    sim
}

/// Guards against retrying a failing task without end: a new leader found no number of attempts for
/// a job whose queue had been removed (rule BUDGET).
#[test]
fn a_new_leader_keeps_the_attempts_of_a_job_whose_queue_is_removed() {
    let sim = successor(accepted());
    assert_eq!(sim.starts.len(), MAX_ATTEMPTS as usize);
    assert_eq!(sim.ended["j"].0, State::Failed);
}

/// Guards against the same for a job that was stored before records contained that number.
#[test]
fn a_job_of_an_older_version_whose_queue_is_removed_is_not_retried_without_end() {
    let sim = successor(record(vec![step(1)]));
    let attempts = Terms::default().max_attempts;
    assert_eq!(sim.starts.len(), attempts as usize);
    assert_eq!(sim.ended["j"].0, State::Failed);
}
