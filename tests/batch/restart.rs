use std::time::Duration;

use coriandernotch::batch::{
    End, Ended, Order, Profile, Reply, RunKey, Running, Snapshot, Tuning, WorkerKey,
};

use crate::simulation::{Simulation, lasting, old_connection, profile, record, step};

/// Start times of the two processes of the worker in these tests, in milliseconds since 1970.
pub(crate) const FIRST_BORN_MS: u64 = 1;
pub(crate) const SECOND_BORN_MS: u64 = 2;

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
pub(crate) fn place(sim: &mut Simulation) -> Vec<RunKey> {
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
    sim.engine
        .grant_lease(key, old_connection(), sim.now)
        .unwrap();
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
    while !sim.ended.contains_key("j") {
        sim.run(10);
    }
    let key = sim.engine.worker_addresses()[0].0;
    assert_eq!(sim.engine.acknowledged(key, old_connection()), 1);
    sim.add(Profile {
        born_ms: SECOND_BORN_MS,
        ..profile("i-0", "s")
    });
    assert_eq!(sim.engine.acknowledged(key, old_connection()), 0);
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

/// Returns the time until the task of a run starts on another worker while its own worker does not
/// answer.
pub(crate) fn time_until_restart(sim: &mut Simulation, key: WorkerKey) -> Duration {
    let begun = sim.now;
    sim.add(profile("other", "s"));
    while place(sim).is_empty() {
        sim.now = sim.now + Duration::from_millis(100);
        sim.engine.record_no_answer(key);
        sim.engine.check_runs_and_workers(sim.now);
        answer_other(sim);
        sim.renew();
    }
    sim.now.since(begun)
}

/// Processes an answer of the worker `other`.
fn answer_other(sim: &mut Simulation) {
    let addresses = sim.engine.worker_addresses();
    let other = addresses.iter().find(|(_, id, _)| &**id == "other");
    answer(sim, other.unwrap().0, Vec::new());
}

/// Guards against taking the lease of a run as expired too early. The order was granted by the
/// clock of the old process of its worker, so the new one held the longest lease and the task
/// started a second time beside it (rule TWICE).
#[test]
fn assumes_the_longest_lease_of_a_process_that_may_be_new() {
    let longest = Tuning::default().lease;
    for reply in [Reply::Started, Reply::Unknown] {
        let (mut sim, key) = with_replaced_process();
        sim.accept("j", record(vec![step(1)]));
        let run = place(&mut sim)[0];
        sim.engine.launch(run, sim.now).unwrap();
        sim.engine
            .grant_lease(key, old_connection(), sim.now)
            .unwrap();
        sim.engine.record_start_outcome(run, &reply, None, sim.now);
        let restarted_after = time_until_restart(&mut sim, key);
        assert!(
            restarted_after > longest.mul_f64(1.02),
            "{restarted_after:?}"
        );
    }
}

/// Guards against acknowledging ends of the new process of a worker by the position of the old one.
/// They were forgotten unread, and their tasks ran again (rule TWICE).
#[test]
fn acknowledges_no_unread_end_of_the_new_process() {
    let mut sim = Simulation::with_workers(1);
    sim.accept("j", record(vec![step(1)]));
    sim.run(1_000);
    assert!(sim.ended.contains_key("j"));
    sim.workers.get_mut("i-0").unwrap().restart();
    sim.accept("k", record(vec![step(1)]));
    sim.run(10);
    assert_eq!(sim.starts_of("k", 0, 0), 1);
    sim.workers.get_mut("i-0").unwrap().silent = true;
    sim.run(600);
    sim.workers.get_mut("i-0").unwrap().silent = false;
    sim.run(1_000);
    assert_eq!(sim.starts_of("k", 0, 0), 1);
    assert!(sim.ended.contains_key("k"));
}

/// Guards against taking an answer of the old process, which arrives late from its address, for one
/// of the new process: the positions of its ends were acknowledged to the new one, which forgot an
/// end that was not stored (rule TWICE after a change of leader).
#[test]
fn ignores_a_late_answer_of_the_old_process() {
    let (mut sim, key) = with_replaced_process();
    sim.accept("j", record(vec![step(1)]));
    let run = place(&mut sim)[0];
    let launch = sim.engine.launch(run, sim.now).unwrap();
    let end = |position| Ended {
        position,
        task: launch.task.clone(),
        number: launch.number,
        how: End::Done,
        saved: "".into(),
    };
    let sent = sim.now;
    sim.now = sim.now + Duration::from_millis(10);
    let snapshot = |born_ms, position| Snapshot {
        clock_ms: 1_000,
        born_ms,
        running: Vec::new(),
        ended: vec![end(position)],
        has_more_ends: false,
    };
    let wall = sim.wall_ms();
    let new = snapshot(SECOND_BORN_MS, 1);
    sim.engine.process_poll(key, &new, sim.now, wall, sim.now);
    assert_eq!(
        sim.engine.acknowledged(key, old_connection()),
        0,
        "the end is not stored"
    );
    sim.now = sim.now + Duration::from_millis(10);
    let old = snapshot(1, 57);
    sim.engine.process_poll(key, &old, sent, wall, sim.now);
    assert_eq!(sim.engine.acknowledged(key, old_connection()), 0);
}

/// Guards against counting a refusal at the address of the old process, which arrives late, as the
/// first of two that show that the new process is gone. Its runs were released after one failed
/// connection.
#[test]
fn ignores_a_late_refusal_at_the_old_address() {
    let (mut sim, key) = with_replaced_process();
    sim.accept("j", record(vec![step(1)]));
    let run = place(&mut sim)[0];
    let sent = sim.now;
    sim.now = sim.now + Duration::from_millis(10);
    answer(&mut sim, key, Vec::new());
    sim.engine
        .record_start_outcome(run, &Reply::Started, None, sim.now);
    sim.now = sim.now + Duration::from_millis(10);
    sim.engine.record_replaced_process(key, sent, sim.now);
    sim.now = sim.now + Duration::from_millis(200);
    sim.renew();
    sim.engine.record_replaced_process(key, sim.now, sim.now);
    sim.add(profile("other", "s"));
    answer_other(&mut sim);
    sim.renew();
    assert!(place(&mut sim).is_empty());
}

/// Guards against releasing the runs of a process because none listens at another address. An older
/// registration that is stored late names that of an earlier process, and the tasks started again
/// beside their runs (rule TWICE).
#[test]
fn keeps_runs_when_an_address_that_never_answered_is_refused() {
    let mut sim = Simulation::with_workers(2);
    sim.accept("j", lasting(1));
    sim.run(100);
    let id = sim.starts[0].0.clone();
    let addresses = sim.engine.worker_addresses();
    let (key, ..) = *addresses.iter().find(|(_, other, _)| *other == id).unwrap();
    let older = Profile {
        born_ms: 0,
        address: "127.0.0.1:2".into(),
        ..profile(&id, "s")
    };
    sim.engine.update_worker(older);
    sim.workers.get_mut(&id).unwrap().silent = true;
    for _ in 0..5 {
        sim.engine.record_replaced_process(key, sim.now, sim.now);
        sim.run(200);
    }
    assert_eq!(sim.starts.len(), 1);
    sim.engine.update_worker(profile(&id, "s"));
    sim.workers.get_mut(&id).unwrap().silent = false;
    sim.run(5_000);
    assert_eq!((sim.starts.len(), sim.running()), (1, 1));
}

/// Guards against a start order that waits for the answer to a poll although the worker has just
/// accepted another one. That answer may be held back for 1 s.
#[test]
fn launches_at_once_on_a_worker_that_accepted_a_start() {
    let (mut sim, key) = with_replaced_process();
    sim.now = sim.now + Duration::from_secs(3);
    sim.renew();
    sim.accept("j", record(vec![step(1)]));
    let run = place(&mut sim)[0];
    assert!(sim.engine.launch(run, sim.now).is_some());
    sim.engine
        .record_start_outcome(run, &Reply::Started, None, sim.now);
    sim.now = sim.now + Duration::from_secs(1);
    sim.renew();
    sim.accept("k", record(vec![step(1)]));
    let run = place(&mut sim)[0];
    assert!(!sim.engine.must_answer_before_start(key, sim.now));
    assert!(sim.engine.launch(run, sim.now).is_some());
}

/// Guards against starting tasks on a process that has not answered at the new address of its
/// worker. If it does not answer either, the task waits for the longest lease.
#[test]
fn launches_nothing_at_an_address_that_has_not_answered() {
    let (mut sim, key) = with_replaced_process();
    sim.engine.update_worker(Profile {
        address: "127.0.0.1:2".into(),
        ..profile("i-0", "s")
    });
    sim.renew();
    sim.accept("j", record(vec![step(1)]));
    let run = place(&mut sim)[0];
    assert_eq!(sim.engine.launch(run, sim.now), None);
    assert!(sim.engine.must_answer_before_start(key, sim.now));
    answer(&mut sim, key, Vec::new());
    assert!(sim.engine.launch(run, sim.now).is_some());
}
