use coriandernotch::batch::{End, Record, State, Step};
use coriandernotch::jobs::Size;

use crate::simulation::{Run, Simulation, lasting, profile, record, step};
use crate::takeover::{next_leader, running_progress};

/// Guards against losing an end with the leader because it was acknowledged before it was stored.
#[test]
fn acknowledges_an_end_only_when_it_is_stored() {
    let mut sim = Simulation::with_workers(1);
    sim.accept("j", record(vec![step(1)]));
    sim.run(100);
    sim.store_unavailable = true;
    sim.run(1_000);
    assert_eq!(sim.workers["i-0"].acknowledged, 0);
    sim.store_unavailable = false;
    sim.run(20);
    assert_eq!(sim.workers["i-0"].acknowledged, 1);
}

/// Guards against acknowledging an end that is read a second time, when its worker is listed again,
/// and that is not stored yet. After a change of leader the task ran again (rule TWICE).
#[test]
fn acknowledges_no_unstored_end_of_a_worker_that_is_listed_again() {
    let mut sim = Simulation::with_workers(1);
    sim.store_unavailable = true;
    sim.accept("j", record(vec![step(1)]));
    sim.run(800);
    assert_eq!((sim.starts.len(), sim.running()), (1, 0));
    sim.engine.mark_delisted("i-0");
    sim.run(50);
    sim.engine.update_worker(profile("i-0", "s"));
    sim.run(50);
    assert_eq!(sim.workers["i-0"].acknowledged, 0);
    sim.store_unavailable = false;
    sim.run(20);
    assert_eq!(sim.workers["i-0"].acknowledged, 1);
}

/// Guards against the same fault for an end that changes nothing, because its task is done by
/// another run: the stored state of the job must show that before either end is acknowledged.
#[test]
fn acknowledges_a_second_end_of_a_task_only_when_the_job_is_stored() {
    let mut sim = Simulation::with_workers(2);
    sim.store_unavailable = true;
    sim.accept("j", record(vec![step(2)]));
    sim.run(100);
    let (first, task, _) = sim.starts[0].clone();
    let copy = Run {
        task,
        number: 2,
        ends_at: None,
        load: 0,
    };
    let mut workers = sim.workers.iter_mut();
    let (_, other) = workers.find(|(id, _)| **id != first).unwrap();
    other.end(copy, End::Done);
    sim.run(700);
    let acknowledged = |sim: &Simulation| -> u64 {
        let workers = sim.workers.values();
        workers.map(|worker| worker.acknowledged).sum()
    };
    assert_eq!(acknowledged(&sim), 0);
    sim.store_unavailable = false;
    sim.run(20);
    assert_eq!(acknowledged(&sim), 3);
}

/// Guards against retrying a job for ever: it must fail after as many attempts as its queue allows.
#[test]
fn fails_a_job_after_its_attempts_on_different_workers() {
    let mut sim = Simulation::with_workers(4);
    sim.workers.values_mut().for_each(|w| w.fails = true);
    sim.accept("j", record(vec![step(1)]));
    sim.run(2_000);
    assert_eq!(sim.ended["j"].0, State::Failed);
    assert_eq!(sim.starts.len(), 3);
    let mut workers: Vec<_> = sim
        .starts
        .iter()
        .map(|(worker, ..)| worker.clone())
        .collect();
    workers.dedup();
    assert_eq!(workers.len(), 3, "each attempt runs on another worker");
}

/// Guards against a worker that fails every task and, being always free, attracts job after job.
#[test]
fn shuns_a_worker_that_fails_different_jobs() {
    let mut sim = Simulation::with_workers(4);
    sim.workers.get_mut("i-2").unwrap().fails = true;
    for number in 0..40 {
        sim.accept(&format!("j{number}"), record(vec![step(1)]));
        sim.run(100);
    }
    sim.run(2_000);
    let starts_there = sim.starts.iter().filter(|(worker, ..)| &**worker == "i-2");
    assert!(
        starts_there.count() <= 6,
        "three failed jobs and the runs already started"
    );
    assert!(
        sim.ended
            .values()
            .all(|(state, _)| *state == State::Completed)
    );
    assert_eq!(sim.ended.len(), 40);
}

/// Guards against tasks of a cancelled job that keep running and take capacity from others.
#[test]
fn stops_the_runs_of_a_cancelled_job() {
    let mut sim = Simulation::with_workers(1);
    sim.accept("j", lasting(1));
    sim.run(100);
    assert_eq!(sim.running(), 1);
    let wall = sim.wall_ms();
    sim.engine.cancel_job(&"j".into(), wall, sim.now);
    sim.run(50);
    assert_eq!(sim.running(), 0);
    assert_eq!(sim.ended["j"].0, State::Cancelled);
    assert_eq!(
        sim.engine.state(&"j".into()),
        None,
        "the store provides the state from now on"
    );
}

/// Guards against running a task twice: an unreachable worker may keep running it until its lease
/// expires.
#[test]
fn restarts_elsewhere_only_after_the_lease_expired() {
    let mut sim = Simulation::with_workers(2);
    sim.accept("j", lasting(1));
    sim.run(100);
    let worker = sim.starts[0].0.clone();
    sim.workers.get_mut(&worker).unwrap().silent = true;
    let now_ms = sim.now.as_nanos() / 1_000_000;
    let lease_ms = sim.workers[&worker].lease_ms - now_ms;
    assert!((4_000..=6_000).contains(&lease_ms), "{lease_ms}");
    // The worker's clock may be slow by 2%.
    sim.run(lease_ms * 102 / 100);
    assert_eq!(sim.starts.len(), 1);
    sim.run(700);
    assert_eq!(sim.starts.len(), 2, "failed polls do not renew the lease");
}

/// Guards against waiting for the lease of a worker to expire although another process is known to
/// have its address.
#[test]
fn restarts_elsewhere_at_once_when_the_process_is_replaced() {
    let mut sim = Simulation::with_workers(2);
    sim.accept("j", record(vec![step(1)]));
    sim.run(50);
    let worker = sim.starts[0].0.clone();
    sim.workers.get_mut(&worker).unwrap().silent = true;
    let addresses = sim.engine.worker_addresses();
    let key = addresses.iter().find(|(_, id, _)| *id == worker).unwrap().0;
    sim.engine.record_replaced_process(key, sim.now, sim.now);
    sim.run(100);
    assert_eq!(sim.starts.len(), 1, "one such answer is not proof");
    sim.run(100);
    sim.engine.record_replaced_process(key, sim.now, sim.now);
    sim.run(50);
    assert_eq!(sim.starts.len(), 2);
    assert_ne!(sim.starts[1].0, worker);
}

/// Guards against starting further tasks on a worker where every run stalls, until each of them had
/// stalled in turn.
#[test]
fn shuns_a_worker_on_which_tasks_stall() {
    let mut sim = Simulation::with_workers(2);
    sim.workers.get_mut("i-0").unwrap().stalls = true;
    for number in 0..12 {
        sim.accept(&format!("j{number}"), record(vec![step(1)]));
        sim.run(400);
    }
    sim.run(3_000);
    let on_stalled = sim.starts.iter().filter(|(id, ..)| **id == *"i-0");
    assert!(on_stalled.count() <= 6, "{:?}", sim.starts);
    assert_eq!(sim.ended.len(), 12);
}

/// Builds a job with more short tasks than a worker lists ends in one answer.
fn many_short_tasks() -> Record {
    record(vec![Step {
        size: Size::new(10, 10, 0),
        estimate_ms: 10,
        ..step(700)
    }])
}

/// Runs a job of many short tasks on one worker while the store does not answer, so that no end can
/// be acknowledged.
fn run_without_store() -> Simulation {
    let mut sim = Simulation::with_workers(1);
    sim.run_ms = 10;
    sim.store_unavailable = true;
    sim.accept("j", many_short_tasks());
    sim.run(1_000);
    sim
}

/// Guards against running a task again whose end is not listed yet, because a worker lists a limited
/// number of ends in one answer (rule TWICE).
#[test]
fn repeats_no_task_whose_end_is_not_listed_yet() {
    let mut sim = run_without_store();
    assert!(sim.workers["i-0"].ended.len() >= 600);
    sim.store_unavailable = false;
    sim.run(1_000);
    assert_eq!(sim.ended["j"].0, State::Completed);
    assert_eq!(sim.starts.len(), 700);
}

/// Guards against the same fault in a new leader, which took the first answer for complete.
#[test]
fn reads_all_ends_of_a_worker_after_a_takeover() {
    let old = run_without_store();
    let (started, ended) = (old.starts.len(), old.workers["i-0"].ended.len());
    assert!(started >= 600 && ended >= 600);
    let mut sim = next_leader(&old, &[("j", many_short_tasks(), running_progress())]);
    sim.run_ms = 10;
    sim.engine.inherit(&[], false, sim.now);
    sim.run(2_000);
    assert_eq!(sim.ended["j"].0, State::Completed);
    assert_eq!(started + sim.starts.len(), 700);
}
