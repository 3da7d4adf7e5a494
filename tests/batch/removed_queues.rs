//! Queues that operators remove while jobs of them are in progress.

use std::sync::Arc;

use coriandernotch::batch::{Advice, Config, Record, Route, State, Terms};

use crate::simulation::{Simulation, config, profile, record, route, step};
use crate::takeover::running_progress;

/// Number of failures of one task after which the job in these tests fails.
const MAX_ATTEMPTS: u32 = 2;

/// Creates a job of one task that its queue granted fewer attempts than other queues do.
fn accepted() -> Record {
    let spec = record(vec![step(1)]).spec;
    let queue = Route {
        max_attempts: MAX_ATTEMPTS,
        ..route("q", "s")
    };
    Record {
        terms: queue.terms(&spec),
        ..record(vec![step(1)])
    }
}

/// Returns a later configuration without the queue of these jobs.
fn without_queue() -> Config {
    Config {
        version: 2,
        routes: vec![route("r", "t")],
        ..config()
    }
}

/// Creates the simulation of a leader that reads a stored job of which all runs fail, and finds its
/// queue removed.
fn successor(job: Record) -> Simulation {
    let mut sim = Simulation::new(2, without_queue());
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

/// Guards against starts without a ticket, which workers reject: a job whose queue had been removed
/// counted as one that needs no advice (rule LOST).
#[test]
fn a_job_whose_queue_is_removed_still_needs_advice() {
    let queue = Route {
        advice: Some(Advice::default()),
        ..route("q", "s")
    };
    let with_queue = Config {
        routes: vec![queue.clone()],
        ..config()
    };
    let spec = record(vec![step(1)]).spec;
    let job = Record {
        terms: queue.terms(&spec),
        ..record(vec![step(1)])
    };
    for config in [with_queue, without_queue()] {
        let mut sim = Simulation::new(1, config);
        sim.add(profile("i-0", "s"));
        sim.run(50);
        sim.accept("j", job.clone());
        sim.engine.set_config(&Arc::new(without_queue()));
        sim.run(100);
        assert!(sim.starts.is_empty(), "{:?}", sim.starts);
        assert!(sim.engine.next_question(sim.now).is_some());
    }
}
