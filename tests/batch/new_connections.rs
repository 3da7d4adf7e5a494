//! Connections to a worker that were opened after its last answer, and may lead to a later process
//! with its id.

use std::time::Duration;

use coriandernotch::batch::{Grant, Running, Snapshot, Tuning};

use crate::restart::{FIRST_BORN_MS, SECOND_BORN_MS, place, time_until_restart};
use crate::simulation::{Simulation, lasting, old_connection, record, step};

/// Guards against an acknowledgement on a connection that leads to a new process with the id of the
/// worker. It forgot the ends of its own that have such positions, and the tasks ran again (rule
/// TWICE).
#[test]
fn acknowledges_no_ends_on_a_connection_that_is_newer_than_the_last_answer() {
    let mut sim = Simulation::with_workers(1);
    sim.accept("j", record(vec![step(1)]));
    while !sim.ended.contains_key("j") {
        sim.run(10);
    }
    let key = sim.engine.worker_addresses()[0].0;
    let new_connection = sim.now + Duration::from_millis(1);
    assert_eq!(sim.engine.acknowledged(key, new_connection), 0);
    assert_eq!(sim.engine.acknowledged(key, old_connection()), 1);
}

/// Guards against a start order that reaches a new process with the id of the worker, which takes the
/// lease by another clock and may carry out the order late.
#[test]
fn starts_nothing_on_a_connection_that_is_newer_than_the_last_answer() {
    let mut sim = Simulation::with_workers(1);
    sim.renew();
    let key = sim.engine.worker_addresses()[0].0;
    sim.accept("j", record(vec![step(1)]));
    let run = place(&mut sim)[0];
    let opened_at = sim.now + Duration::from_millis(1);
    sim.now = sim.now + Duration::from_millis(2);
    let grant = |sim: &mut Simulation| sim.engine.grant_by_start(run, opened_at, sim.now);
    assert_eq!(grant(&mut sim), Grant::Unverified);
    assert!(sim.engine.verify_process(key, FIRST_BORN_MS, sim.now));
    assert!(matches!(grant(&mut sim), Grant::Until(_)));
    assert!(!sim.engine.verify_process(key, SECOND_BORN_MS, sim.now));
    assert_eq!(grant(&mut sim), Grant::Denied, "another process answers");
}

/// Guards against taking the lease of a worker as expired too early whose last poll was sent on a new
/// connection: a new process takes the end of the lease, which counts by the clock of the old one,
/// for the longest lease.
#[test]
fn a_lease_granted_on_a_new_connection_may_be_the_longest() {
    let mut sim = Simulation::with_workers(1);
    sim.renew();
    let key = sim.engine.worker_addresses()[0].0;
    sim.accept("j", lasting(1));
    sim.run(100);
    assert_eq!(sim.running(), 1);
    sim.now = sim.now + Duration::from_millis(10);
    let granted = sim.now;
    sim.engine.renewal(key, granted, granted);
    let elapsed = time_until_restart(&mut sim, key);
    assert!(elapsed > Tuning::default().lease, "{elapsed:?}");
}

/// Guards against workers that are lost soon after a poll on a new connection and whose tasks wait
/// for the longest lease: the first answer on it verifies the lease, and comes without a wait.
#[test]
fn the_first_answer_on_a_new_connection_verifies_the_lease() {
    let mut sim = Simulation::with_workers(1);
    sim.renew();
    let key = sim.engine.worker_addresses()[0].0;
    sim.accept("j", lasting(1));
    sim.run(100);
    let planned = sim.now;
    let opened_at = planned + Duration::from_millis(3);
    sim.now = opened_at + Duration::from_millis(1);
    let renewal = sim.engine.renewal(key, opened_at, sim.now);
    assert!(renewal.deadline_ms.is_some() && !renewal.may_wait);
    let running = Running {
        task: sim.starts[0].1.clone(),
        number: sim.starts[0].2,
        saved: "".into(),
        percent: 100,
        load: 0,
    };
    let snapshot = Snapshot {
        clock_ms: 1_000,
        born_ms: FIRST_BORN_MS,
        running: vec![running],
        ended: Vec::new(),
        has_more_ends: false,
    };
    let wall = sim.wall_ms();
    sim.engine
        .process_poll(key, &snapshot, planned, wall, sim.now);
    assert!(sim.engine.renewal(key, opened_at, sim.now).may_wait);
    let elapsed = time_until_restart(&mut sim, key);
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
}
