use std::time::Duration;

use coriandernotch::batch::{Order, Profile, Reply, RunKey, Running, Snapshot, WorkerKey};

use crate::simulation::{Simulation, profile, record, step};

/// Start time of the second process of the worker in these tests, in milliseconds since 1970.
const SECOND_BORN_MS: u64 = 2;

/// Creates a simulation with one idle worker whose process has been replaced since it last
/// answered.
fn with_replaced_process() -> (Simulation, WorkerKey) {
    let mut sim = Simulation::with_workers(1);
    sim.renew();
    let key = sim.engine.worker_addresses()[0].0;
    sim.now = sim.now + Duration::from_secs(1);
    sim.renew();
    (sim, key)
}

/// Places tasks and returns the runs to start.
fn place(sim: &mut Simulation) -> Vec<RunKey> {
    let wall = sim.wall_ms();
    sim.engine.place(sim.now, wall);
    let orders = sim.engine.take_orders().into_iter();
    let start = |(_, order)| match order {
        Order::Start(run) => Some(run),
        _ => None,
    };
    orders.filter_map(start).collect()
}

/// Processes an answer of the second process of the worker.
fn answer(sim: &mut Simulation, key: WorkerKey, running: Vec<Running>) {
    let snapshot = Snapshot {
        clock_ms: 1_000,
        born_ms: SECOND_BORN_MS,
        running,
        ended: Vec::new(),
        has_more_ends: false,
    };
    let (sent, wall) = (sim.now, sim.wall_ms());
    sim.engine.process_poll(key, &snapshot, sent, wall, sim.now);
}

/// Guards against releasing a run whose start order reaches the new process of a worker while the
/// first answer of that process is on its way. Its task then started a second time beside it (rule
/// TWICE).
#[test]
fn keeps_a_run_whose_start_order_is_in_transit() {
    let (mut sim, key) = with_replaced_process();
    sim.accept("j", record(vec![step(1)]));
    let run = place(&mut sim)[0];
    let launch = sim.engine.launch(run, sim.now).unwrap();
    sim.engine.grant_lease(key, sim.now).unwrap();
    answer(&mut sim, key, Vec::new());
    sim.now = sim.now + Duration::from_millis(10);
    sim.engine
        .record_start_outcome(run, &Reply::Started, None, sim.now);
    assert!(place(&mut sim).is_empty());
    sim.now = sim.now + Duration::from_millis(10);
    let running = Running {
        task: launch.task,
        number: launch.number,
        saved: "".into(),
        percent: 1,
        load: 0,
    };
    answer(&mut sim, key, vec![running]);
    assert!(place(&mut sim).is_empty());
}

/// Guards against acknowledging the ends of a new process by the position of the old one, whose
/// ends are numbered anew. The new process then forgot the end of a run that was not read yet, and
/// the task started again (rule TWICE).
#[test]
fn acknowledges_no_ends_of_a_process_that_has_not_answered() {
    let mut sim = Simulation::with_workers(1);
    sim.accept("j", record(vec![step(1)]));
    sim.run(5_000);
    let key = sim.engine.worker_addresses()[0].0;
    assert_eq!(sim.engine.acknowledged(key), 1);
    sim.add(Profile {
        born_ms: SECOND_BORN_MS,
        ..profile("i-0", "s")
    });
    assert_eq!(sim.engine.acknowledged(key), 0);
}

/// Guards against starting tasks on a worker that may have ended or been replaced since it was last
/// heard. Idle workers are not polled, and starts on workers last heard 23 s before were seen.
#[test]
fn launches_nothing_on_a_worker_that_has_not_answered_for_a_lease() {
    let (mut sim, key) = with_replaced_process();
    sim.now = sim.now + Duration::from_secs(5);
    sim.renew();
    sim.accept("j", record(vec![step(1)]));
    let run = place(&mut sim)[0];
    assert!(sim.engine.needs_poll(key));
    assert!(sim.engine.must_answer_before_start(key, sim.now));
    assert_eq!(sim.engine.launch(run, sim.now), None);
    answer(&mut sim, key, Vec::new());
    assert!(!sim.engine.must_answer_before_start(key, sim.now));
    assert!(sim.engine.launch(run, sim.now).is_some());
}

/// Guards against keeping runs that ended with the old process of a worker. Their tasks would wait
/// for the lease to expire.
#[test]
fn releases_a_run_of_the_old_process() {
    let mut sim = Simulation::with_workers(1);
    sim.renew();
    let key = sim.engine.worker_addresses()[0].0;
    sim.accept("j", record(vec![step(1)]));
    sim.run(50);
    assert_eq!(sim.starts.len(), 1);
    sim.now = sim.now + Duration::from_millis(10);
    answer(&mut sim, key, Vec::new());
    assert_eq!(place(&mut sim).len(), 1);
}
