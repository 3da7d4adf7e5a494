//! Workers whose machine an order has shut down, or that came back after an earlier one.

use std::time::Duration;

use crate::maintenance::wave;
use crate::pools::machine;
use crate::simulation::{Simulation, config, lasting, profile};
use crate::waits::MAX_WAIT_MS;

/// Adds a job of one lasting task and asserts that it runs in time.
fn assert_runs_in_time(sim: &mut Simulation, job: &str) {
    sim.accept(job, lasting(1));
    sim.run(MAX_WAIT_MS);
    assert_eq!(sim.starts_of(job, 0, 0), 1);
}

/// Guards against the loss of a worker whose machine was maintained before. The platform accepts the
/// order a second time without carrying it out, and the store reports no change of the worker that
/// came back, so tasks waited without end although it was free.
#[test]
fn uses_a_worker_whose_machine_was_maintained_before() {
    let mut sim = Simulation::with_workers(1);
    let wave = wave(&sim, &["m-i-0"], 1, Duration::from_secs(10));
    sim.engine.set_waves(vec![wave]);
    sim.run(100);
    assert_eq!(sim.engine.maintenance_due().len(), 1);
    let machine = "m-i-0".into();
    sim.engine.record_maintenance_start(1, &machine, sim.now);
    assert_runs_in_time(&mut sim, "j");
}

/// Guards against the same loss after an order to move a machine that has moved before.
#[test]
fn uses_a_worker_whose_machine_was_moved_before() {
    let mut sim = Simulation::with_workers(1);
    sim.engine.set_machines(vec![machine("m-i-0", "t")]);
    sim.engine
        .record_move(&"m-i-0".into(), &"s".into(), sim.now);
    assert_runs_in_time(&mut sim, "j");
}

/// Guards against starts on a worker whose machine was shut down and that the store still lists:
/// it is gone and does not answer.
#[test]
fn starts_nothing_on_a_worker_whose_machine_was_moved() {
    let mut sim = Simulation::new(1, config());
    sim.add(profile("i-0", "s"));
    sim.run(50);
    sim.engine.set_machines(vec![machine("m-i-0", "s")]);
    sim.engine
        .record_move(&"m-i-0".into(), &"t".into(), sim.now);
    sim.workers.get_mut("i-0").unwrap().silent = true;
    sim.accept("j", lasting(1));
    sim.run(2 * MAX_WAIT_MS);
    assert!(sim.starts.is_empty());
    sim.engine.mark_delisted("i-0");
    sim.run(100);
    assert!(sim.engine.worker_addresses().is_empty());
}

/// Guards against polling a worker for ever that has ended before the order was accepted: the store
/// had removed it, and would not do so again.
#[test]
fn forgets_a_worker_that_was_gone_before_its_machine_was_moved() {
    let mut sim = Simulation::with_workers(1);
    sim.engine.set_machines(vec![machine("m-i-0", "s")]);
    sim.workers.get_mut("i-0").unwrap().silent = true;
    sim.engine.mark_delisted("i-0");
    sim.engine
        .record_move(&"m-i-0".into(), &"t".into(), sim.now);
    sim.run(MAX_WAIT_MS);
    assert!(sim.engine.worker_addresses().is_empty());
}
