use coriandernotch::batch::State;

use crate::bed::{Bed, lasting, record, step};

/// Guards against losing an end with the leader because it was acknowledged before it was stored.
#[test]
fn acknowledges_an_end_only_when_it_is_stored() {
    let mut bed = Bed::with_workers(1);
    bed.accept("j", record(vec![step(1)]));
    bed.run(100);
    bed.store_away = true;
    bed.run(1_000);
    let (key, ..) = bed.engine.worker_addresses()[0].clone();
    assert_eq!(bed.engine.acknowledged(key), 0);
    bed.store_away = false;
    bed.run(20);
    assert_eq!(bed.engine.acknowledged(key), 1);
}

/// Guards against retrying a job for ever: it must fail after as many attempts as its queue allows.
#[test]
fn fails_a_job_after_its_attempts_on_different_workers() {
    let mut bed = Bed::with_workers(4);
    bed.workers.values_mut().for_each(|w| w.fails = true);
    bed.accept("j", record(vec![step(1)]));
    bed.run(2_000);
    assert_eq!(bed.ended["j"].0, State::Failed);
    assert_eq!(bed.starts.len(), 3);
    let mut workers: Vec<_> = bed
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
    let mut bed = Bed::with_workers(4);
    bed.workers.get_mut("i-2").unwrap().fails = true;
    for number in 0..40 {
        bed.accept(&format!("j{number}"), record(vec![step(1)]));
        bed.run(100);
    }
    bed.run(2_000);
    let there = bed.starts.iter().filter(|(worker, ..)| &**worker == "i-2");
    assert!(there.count() <= 6, "three strikes and what was under way");
    assert!(
        bed.ended
            .values()
            .all(|(state, _)| *state == State::Completed)
    );
    assert_eq!(bed.ended.len(), 40);
}

/// Guards against tasks of a cancelled job that keep running and take capacity from others.
#[test]
fn stops_what_runs_for_a_cancelled_job() {
    let mut bed = Bed::with_workers(1);
    bed.accept("j", lasting(1));
    bed.run(100);
    assert_eq!(bed.running(), 1);
    let wall = bed.wall_ms();
    bed.engine.cancel(&"j".into(), wall, bed.now);
    bed.run(50);
    assert_eq!(bed.running(), 0);
    assert_eq!(bed.ended["j"].0, State::Cancelled);
    assert_eq!(
        bed.engine.state(&"j".into()),
        None,
        "the store answers from now on"
    );
}

/// Guards against running a task twice: an unreachable worker may keep running it until its lease
/// expires.
#[test]
fn starts_elsewhere_only_when_the_lease_has_run_out() {
    let mut bed = Bed::with_workers(2);
    bed.accept("j", lasting(1));
    bed.run(100);
    let worker = bed.starts[0].0.clone();
    bed.workers.get_mut(&worker).unwrap().silent = true;
    let now_ms = bed.now.as_nanos() / 1_000_000;
    let lease_ms = bed.workers[&worker].lease_ms - now_ms;
    assert!((4_000..=6_000).contains(&lease_ms), "{lease_ms}");
    // The worker's clock may be slow by 2%.
    bed.run(lease_ms * 102 / 100);
    assert_eq!(bed.starts.len(), 1);
    bed.run(700);
    assert_eq!(
        bed.starts.len(),
        2,
        "looks that fail do not renew the lease"
    );
}

/// Guards against waiting for the lease of a crashed worker to expire although its process is known
/// to be gone.
#[test]
fn starts_elsewhere_at_once_when_the_process_is_gone() {
    let mut bed = Bed::with_workers(2);
    bed.accept("j", record(vec![step(1)]));
    bed.run(50);
    let worker = bed.starts[0].0.clone();
    bed.workers.get_mut(&worker).unwrap().silent = true;
    let addresses = bed.engine.worker_addresses();
    let key = addresses.iter().find(|(_, id, _)| *id == worker).unwrap().0;
    bed.engine.absent(key, bed.now);
    bed.run(100);
    assert_eq!(bed.starts.len(), 1, "one sign may be a mistake");
    bed.run(100);
    bed.engine.absent(key, bed.now);
    bed.run(50);
    assert_eq!(bed.starts.len(), 2);
    assert_ne!(bed.starts[1].0, worker);
}

/// Guards against starting further tasks on a worker where every run stalls, until each of them had
/// stalled in turn.
#[test]
fn shuns_a_worker_on_which_tasks_stand_still() {
    let mut bed = Bed::with_workers(2);
    bed.workers.get_mut("i-0").unwrap().stands = true;
    for number in 0..12 {
        bed.accept(&format!("j{number}"), record(vec![step(1)]));
        bed.run(400);
    }
    bed.run(3_000);
    let on_sick = bed.starts.iter().filter(|(id, ..)| **id == *"i-0");
    assert!(on_sick.count() <= 6, "{:?}", bed.starts);
    assert_eq!(bed.ended.len(), 12);
}
