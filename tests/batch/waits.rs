//! How long a lasting task waits for a worker that refuses orders, fails tasks or does not answer.

use std::time::Duration;

use coriandernotch::batch::{End, Order, Reply, Running, Snapshot, State, WorkerKey};

use crate::simulation::{Run, Simulation, lasting, old_connection, record, step};

/// Time within which an accepted lasting task must run once nothing disturbs it.
pub(crate) const MAX_WAIT_MS: u64 = 7_000;

/// Time between two rounds of [`run_rounds`].
const ROUND: Duration = Duration::from_millis(100);

/// Simulates rounds with `react`, which carries out the orders, until it returns true. Returns the
/// time that this took; it is limited.
fn run_rounds(
    sim: &mut Simulation,
    mut react: impl FnMut(&mut Simulation, Vec<(WorkerKey, Order)>) -> bool,
) -> Duration {
    let begun = sim.now;
    while sim.now.since(begun) < Duration::from_secs(60) {
        sim.now = sim.now + ROUND;
        let wall = sim.wall_ms();
        sim.engine.check_runs_and_workers(sim.now);
        sim.engine.place(sim.now, wall);
        let orders = sim.engine.take_orders();
        if react(sim, orders) {
            break;
        }
    }
    sim.now.since(begun)
}

/// Ends the run of a job as failed, and reads the end.
fn fail(sim: &mut Simulation, job: &str) {
    let worker = sim.workers.get_mut("i-0").unwrap();
    let is_of_job = |run: &mut Run| *run.task.job == *job;
    let runs: Vec<Run> = worker.running.extract_if(.., is_of_job).collect();
    assert_eq!(runs.len(), 1);
    runs.into_iter()
        .for_each(|run| worker.end(run, End::Failed));
    sim.run(10);
}

/// Processes an answer of a worker that lists the given runs.
fn answer(sim: &mut Simulation, key: WorkerKey, running: Vec<Running>) {
    let snapshot = Snapshot {
        clock_ms: sim.now.as_nanos() / 1_000_000,
        born_ms: 1,
        running,
        ended: Vec::new(),
        has_more_ends: false,
    };
    let (sent, wall) = (sim.now, sim.wall_ms());
    sim.engine.grant_lease(key, old_connection(), sent);
    sim.engine.process_poll(key, &snapshot, sent, wall, sim.now);
}

/// Guards against a task that waits for a worker which refuses each of its starts, while another
/// worker has room.
#[test]
fn starts_elsewhere_when_a_worker_refuses_every_start() {
    let refusals = [
        Reply::Rejected,
        Reply::Full,
        Reply::Unhealthy,
        Reply::Unsent,
        Reply::Replaced,
    ];
    for refusal in refusals {
        let mut sim = Simulation::with_workers(2);
        sim.accept("j", lasting(1));
        let (mut refusing, mut started) = (None, false);
        let took = run_rounds(&mut sim, |sim, orders| {
            for (key, order) in orders {
                let Order::Start(run) = order else {
                    continue;
                };
                started = key != *refusing.get_or_insert(key);
                let reply = if started { &Reply::Started } else { &refusal };
                sim.engine.record_start_outcome(run, reply, None, sim.now);
            }
            started
        });
        assert!(took < Duration::from_millis(MAX_WAIT_MS), "{refusal:?}");
    }
}

/// Guards against a task that stays occupied by a run whose start and stop got no answer, after its
/// worker answers again.
#[test]
fn ends_an_uncertain_run_soon_after_stops_are_answered_again() {
    let mut sim = Simulation::with_workers(1);
    let key = sim.engine.worker_addresses()[0].0;
    let stops_answered_from = sim.now + Duration::from_secs(10);
    sim.accept("j", lasting(1));
    let mut starts = 0;
    let took = run_rounds(&mut sim, |sim, orders| {
        for (_, order) in orders {
            match order {
                Order::Start(run) => {
                    starts += 1;
                    sim.engine
                        .grant_lease(key, old_connection(), sim.now)
                        .unwrap();
                    sim.engine
                        .record_start_outcome(run, &Reply::Unknown, None, sim.now);
                }
                Order::Stop { task, number } if sim.now >= stops_answered_from => {
                    sim.engine
                        .record_stop_confirmation(key, &task, number, sim.now);
                }
                Order::Stop { .. } | Order::Pace { .. } => {}
            }
        }
        sim.now = sim.now + Duration::from_millis(10);
        answer(sim, key, Vec::new());
        starts > 1
    });
    let limit = Duration::from_millis(10_000 + MAX_WAIT_MS);
    assert!(took > Duration::from_secs(10), "{took:?}");
    assert!(took < limit, "{took:?}");
}

/// Guards against a task that stays occupied by a run whose start order still waits behind other
/// orders for its worker, which does not answer any more.
#[test]
fn ends_a_run_whose_start_is_not_sent_when_its_worker_is_silent() {
    let mut sim = Simulation::with_workers(2);
    // Its lease is renewed just before it falls silent.
    sim.accept("busy", lasting(1));
    sim.run(100);
    let silent = sim.starts[0].0.clone();
    sim.workers.get_mut(&silent).unwrap().silent = true;
    sim.accept("j", lasting(1));
    let mut starts = 0;
    let took = run_rounds(&mut sim, |sim, orders| {
        for (key, order) in orders {
            if matches!(order, Order::Start(_)) {
                starts += 1;
                assert_eq!(sim.is_silent(key), starts == 1);
            }
        }
        sim.poll_all();
        starts > 2
    });
    assert!(took < Duration::from_millis(MAX_WAIT_MS), "{took:?}");
}

/// Guards against a worker that is excluded without end while tasks on it go on to fail: the wait
/// of the other tasks was prolonged by a failure in the moment in which it ended.
#[test]
fn uses_a_worker_in_time_whose_tasks_go_on_to_fail() {
    let mut sim = Simulation::with_workers(1);
    for job in ["a", "b", "c", "d"] {
        sim.accept(job, lasting(1));
    }
    sim.run(100);
    assert_eq!(sim.running(), 4);
    for job in ["a", "b", "c"] {
        fail(&mut sim, job);
    }
    let failed_at = sim.now;
    // The fourth task fails as soon as the worker may be used again.
    sim.run(5_990);
    assert_eq!(sim.starts.len(), 4);
    fail(&mut sim, "d");
    let waited = sim.now.since(failed_at);
    let rest = Duration::from_millis(MAX_WAIT_MS).saturating_sub(waited);
    sim.run(u64::try_from(rest.as_millis()).unwrap());
    for job in ["a", "b", "c"] {
        assert_eq!(sim.starts_of(job, 0, 0), 2, "{job}");
    }
}

/// Guards against the exclusion of all workers of a service by jobs that fail everywhere: good jobs
/// had no worker for as long as bad ones were left (rule LOST).
#[test]
fn keeps_most_workers_in_use_while_jobs_fail_on_all_of_them() {
    let mut sim = Simulation::with_workers(6);
    for worker in sim.workers.values_mut() {
        worker.fails = true;
    }
    for number in 0..40 {
        sim.accept(&format!("bad-{number}"), record(vec![step(1)]));
    }
    sim.run(500);
    for worker in sim.workers.values_mut() {
        worker.fails = false;
    }
    // Four of the six workers have room for all of its tasks.
    sim.accept("good", record(vec![step(16)]));
    sim.run(100);
    let started = (0..16).filter(|index| sim.starts_of("good", 0, *index) > 0);
    assert_eq!(started.count(), 16);
}

/// Guards against a job that is shown as running, and not counted as waiting, before a worker has a
/// run of it: the start order may be refused (rule MIXED).
#[test]
fn a_job_waits_until_a_worker_has_a_run_of_it() {
    let mut sim = Simulation::with_workers(1);
    sim.accept("j", record(vec![step(1)]));
    let wall = sim.wall_ms();
    sim.engine.place(sim.now, wall);
    let orders = sim.engine.take_orders();
    let Some((_, Order::Start(run))) = orders.first() else {
        panic!("{orders:?}");
    };
    assert_eq!(sim.engine.state(&"j".into()), Some(State::Queued));
    assert_eq!(sim.engine.unstarted_jobs().count(), 1);
    sim.engine
        .record_start_outcome(*run, &Reply::Started, None, sim.now);
    assert_eq!(sim.engine.state(&"j".into()), Some(State::Running));
    assert_eq!(sim.engine.unstarted_jobs().count(), 0);
}
