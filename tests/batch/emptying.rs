//! Lasting tasks beside workers whose machine is to be maintained or moved but cannot be emptied.

use std::time::Duration;

use coriandernotch::batch::{End, Machine};
use coriandernotch::jobs::Size;

use crate::maintenance::wave;
use crate::pools::machine;
use crate::simulation::{Simulation, config, lasting, profile, record, step};
use crate::waits::MAX_WAIT_MS;

/// Runs the simulation for 30 s and returns the longest time for which fewer than `count` lasting
/// tasks of a job were running.
fn longest_wait(sim: &mut Simulation, job: &str, count: usize) -> Duration {
    let (mut longest, mut complete_at) = (Duration::ZERO, sim.now);
    for _ in 0..3_000 {
        sim.run(10);
        let workers = sim.workers.values().filter(|worker| !worker.silent);
        let runs = workers.flat_map(|worker| &worker.running);
        if runs.filter(|run| *run.task.job == *job).count() == count {
            complete_at = sim.now;
        }
        longest = longest.max(sim.now.since(complete_at));
    }
    longest
}

/// Creates a service with one worker, whose machine is due for maintenance and which runs both tasks
/// of the step of the job `j`.
fn with_due_machine() -> Simulation {
    let mut sim = Simulation::with_workers(1);
    let mut job = lasting(2);
    job.spec.steps[0].max_per_worker = 2;
    sim.accept("j", job);
    sim.run(100);
    let wave = wave(&sim, &["m-i-0"], 1, Duration::from_secs(10));
    sim.engine.set_waves(vec![wave]);
    sim
}

/// Guards against a machine that can neither be emptied nor used: one of two tasks of a step was
/// stopped for maintenance, found no other worker, and for lack of it the other one could not be
/// stopped (rule LOST).
#[test]
fn keeps_tasks_that_cannot_be_moved_off_a_machine() {
    let mut sim = with_due_machine();
    let longest = longest_wait(&mut sim, "j", 2);
    assert!(longest < Duration::from_millis(MAX_WAIT_MS), "{longest:?}");
}

/// Guards against the same deadlock after a task of the step has failed on such a machine.
#[test]
fn restarts_a_task_on_a_machine_that_cannot_be_emptied() {
    let mut sim = with_due_machine();
    sim.run(10);
    let worker = sim.workers.get_mut("i-0").unwrap();
    let run = worker.running.pop().unwrap();
    worker.end(run, End::Failed);
    let longest = longest_wait(&mut sim, "j", 2);
    assert!(longest < Duration::from_millis(MAX_WAIT_MS), "{longest:?}");
}

/// Runs the simulation for rounds of 100 ms, in each of which moves are planned but none is ready.
fn plan_rounds(sim: &mut Simulation, count: usize) {
    for _ in 0..count {
        sim.run(100);
        assert!(sim.engine.plan_moves(sim.now).is_empty(), "x is in use");
    }
}

/// Creates a service in which only `i-0` has room besides `i-1`, the worker of the lasting task of
/// the job `j`. The machine of `i-0` is lent, and runs a long task.
fn with_lent_machine() -> Simulation {
    let mut config = config();
    config.spare_services.insert("spare".into());
    let mut sim = Simulation::new(1, config);
    let mut lent = profile("i-0", "s");
    lent.machine = "x".into();
    sim.add(lent);
    sim.run(50);
    sim.run_ms = 60_000;
    sim.accept("long", record(vec![step(1)]));
    sim.run(50);
    sim.add(profile("i-1", "s"));
    sim.run(50);
    sim.accept("j", lasting(1));
    sim.run(50);
    assert_eq!(sim.starts.last().unwrap().0, "i-1".into());
    for number in 2..5 {
        let id = format!("i-{number}");
        sim.add(profile(&id, "s"));
        sim.run(50);
        let mut full = step(1);
        full.size = Size::new(4_000, 100, 0);
        sim.accept(&format!("full-{number}"), record(vec![full]));
        sim.run(50);
    }
    assert_eq!(sim.starts.len(), 5);
    let mut machines: Vec<Machine> = (1..5).map(|n| machine(&format!("m-i-{n}"), "s")).collect();
    machines.push(machine("x", "s"));
    sim.engine.set_machines(machines);
    sim.engine
        .restore_lent_machines(&[("x".into(), "spare".into())]);
    sim
}

/// Guards against a task that waits until a long task has ended on a worker whose machine is to be
/// moved. The worker had room for it, and no other one had (rule LOST).
#[test]
fn uses_a_worker_whose_machine_cannot_be_moved_yet() {
    let mut sim = with_lent_machine();
    plan_rounds(&mut sim, 100);
    sim.workers.get_mut("i-1").unwrap().silent = true;
    let mut waited = Duration::ZERO;
    while sim.starts_of("j", 0, 0) == 1 && waited < Duration::from_secs(20) {
        plan_rounds(&mut sim, 1);
        waited += Duration::from_millis(100);
    }
    // The lease of the silent worker has to expire first.
    assert!(waited < Duration::from_secs(9), "{waited:?}");
}
