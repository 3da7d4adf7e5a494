//! Workers whose machine an order has shut down, or that came back after an earlier one.

use std::time::Duration;

use crate::maintenance::wave;
use crate::simulation::{Simulation, lasting};
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
