use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{Member, Occupancy, Progress, State, TaskId};

use crate::simulation::{START_MS, Simulation, config, lasting, profile, record, step};

/// Creates the simulation of the next leader, with the workers of `old`.
pub(crate) fn next_leader(
    old: &Simulation,
    jobs: &[(&str, coriandernotch::batch::Record, Progress)],
) -> Simulation {
    let mut sim = Simulation::new(2, config());
    sim.now = old.now;
    sim.workers = old.workers.clone();
    for (id, record, progress) in jobs {
        let progress = Some(progress.clone());
        sim.engine
            .load_job(&(*id).into(), record.clone(), progress, START_MS, sim.now);
    }
    let mut ids: Vec<_> = sim.workers.keys().cloned().collect();
    ids.sort();
    let members = ids.iter().map(|id| Member::from(&profile(id, "s")));
    let members = members.collect();
    for id in ids {
        sim.engine.update_worker(profile(&id, "s"));
    }
    sim.engine.restore_members(members);
    sim
}

pub(crate) fn running_progress() -> Progress {
    Progress {
        state: State::Running,
        ..Progress::default()
    }
}

/// Guards against starting tasks a second time: a new leader took the lease of their worker for
/// expired.
#[test]
fn adopts_the_runs_of_the_last_leader() {
    let mut old = Simulation::with_workers(3);
    old.accept("j", lasting(2));
    old.run(100);
    let mut sim = next_leader(&old, &[("j", lasting(2), running_progress())]);
    sim.engine.inherit(&[], false, sim.now);
    sim.run(3_000);
    assert!(sim.starts.is_empty());
    assert_eq!(sim.running(), 2);
}

/// Guards against taking the lease of a worker for expired that registers after the takeover and
/// lists runs of the previous leader: they were started again at once (rule TWICE).
#[test]
fn keeps_the_runs_of_a_worker_that_registers_after_the_takeover() {
    let mut old = Simulation::with_workers(2);
    old.accept("j", lasting(1));
    old.run(100);
    let id = old.starts[0].0.clone();
    let worker = old.workers.remove(&id).unwrap();
    let mut sim = next_leader(&old, &[("j", lasting(1), running_progress())]);
    sim.engine.inherit(&[], false, sim.now);
    sim.workers.insert(id.clone(), worker);
    sim.engine.update_worker(profile(&id, "s"));
    sim.run(3_000);
    assert!(sim.starts.is_empty());
    assert_eq!(sim.running(), 1);
}

/// Guards against starting a task elsewhere that a crashed leader may have started on a worker that
/// does not answer its successor.
#[test]
fn waits_for_a_silent_worker_after_a_crash() {
    let mut old = Simulation::with_workers(2);
    old.accept("j", lasting(1));
    old.run(100);
    let worker = old.starts[0].0.clone();
    let mut sim = next_leader(&old, &[("j", lasting(1), running_progress())]);
    sim.workers.get_mut(&worker).unwrap().silent = true;
    sim.engine
        .inherit(&old.engine.list_busy_workers(old.now), false, sim.now);
    sim.run(10_000);
    assert!(sim.starts.is_empty());
    sim.workers.get_mut(&worker).unwrap().silent = false;
    sim.run(500);
    assert!(sim.starts.is_empty());
    assert_eq!(sim.running(), 1);
}

/// Guards against waiting for an unreachable worker with tasks that it does not run. After each
/// rolling restart such tasks waited up to 16 s.
#[test]
fn starts_at_once_tasks_that_a_resigned_leader_did_not_run() {
    let mut old = Simulation::with_workers(3);
    old.accept("j", lasting(1));
    old.run(100);
    let worker = old.starts[0].0.clone();
    let jobs = [
        ("j", lasting(1), running_progress()),
        ("k", lasting(1), running_progress()),
    ];
    let mut sim = next_leader(&old, &jobs);
    sim.workers.get_mut(&worker).unwrap().silent = true;
    sim.engine
        .inherit(&old.engine.list_busy_workers(old.now), true, sim.now);
    sim.run(200);
    let started: Vec<&str> = sim.starts.iter().map(|(_, task, _)| &*task.job).collect();
    assert_eq!(started, ["k"]);
    sim.run(7_000);
    assert_eq!(sim.starts_of("j", 0, 0), 1, "its lease has expired");
}

/// Guards against taking the store entry of an earlier process on a machine for its replacement.
#[test]
fn treats_only_a_newer_process_as_a_replacement() {
    let task = TaskId {
        job: "j".into(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let occupancy = |born_ms| Occupancy {
        worker: "i-8".into(),
        service: "s".into(),
        machine: "m-i-0".into(),
        born_ms,
        silent: true,
        lease_ms: 5_000,
        tasks: vec![task.clone()],
        unknown: false,
    };
    for (born_ms, starts) in [(2, 0), (0, 1)] {
        let old = Simulation::with_workers(1);
        let mut sim = next_leader(&old, &[("j", lasting(1), running_progress())]);
        sim.engine.inherit(&[occupancy(born_ms)], true, sim.now);
        sim.run(1_000);
        assert_eq!(sim.starts.len(), starts, "started at {born_ms}");
    }
}

/// Guards against taking an entry for the replacement of a worker although no process answers for it.
/// Another writer had left it, and the tasks of the worker were started a second time.
#[test]
fn treats_only_a_process_that_answered_as_a_replacement() {
    let mut old = Simulation::with_workers(3);
    old.accept("j", lasting(2));
    old.run(100);
    let mut sim = next_leader(&old, &[("j", lasting(2), running_progress())]);
    let mut bogus = profile("bogus", "t");
    let worker = old.starts[0].0.clone();
    bogus.machine = format!("m-{worker}").into();
    bogus.born_ms = u64::MAX;
    sim.add(bogus);
    for id in ["bogus", &worker] {
        sim.workers.get_mut(id).unwrap().silent = true;
    }
    sim.engine.inherit(&[], false, sim.now);
    sim.run(1_000);
    assert!(sim.starts.is_empty());
    sim.workers.get_mut(&worker).unwrap().silent = false;
    sim.run(1_000);
    assert!(sim.starts.is_empty());
    assert_eq!(sim.running(), 2);
}

/// Guards against counting a failure twice that is stored and still listed by its worker, which
/// failed the job.
#[test]
fn counts_a_failure_once() {
    let mut old = Simulation::with_workers(2);
    old.workers.values_mut().for_each(|w| w.fails = true);
    old.accept("j", record(vec![step(1)]));
    old.run(60);
    let numbers: Vec<u64> = old.starts.iter().map(|(.., number)| *number).collect();
    assert_eq!(numbers.len(), 1);
    let stored = Progress {
        state: State::Running,
        failed: vec![(0, 0, 0, numbers)],
        ..Progress::default()
    };
    let mut sim = next_leader(&old, &[("j", record(vec![step(1)]), stored)]);
    sim.engine.inherit(&[], true, sim.now);
    sim.run(800);
    assert_eq!(sim.starts.len(), 2, "two of three attempts were left");
}

/// Guards against reusing run numbers of the previous leader, which workers reject.
#[test]
fn numbers_runs_above_those_of_the_last_leader() {
    let old = Simulation::with_workers(1);
    let mut sim = next_leader(&old, &[("j", record(vec![step(1)]), running_progress())]);
    sim.engine.inherit(&[], true, sim.now);
    sim.run(100);
    assert_eq!(sim.starts[0].2, 1_001);
}

/// Guards against losing changes whose write was aborted after they had been taken for storing.
#[test]
fn queues_changes_again_that_were_taken_but_not_stored() {
    let mut sim = Simulation::with_workers(1);
    sim.store_unavailable = true;
    sim.accept("j", record(vec![step(1)]));
    sim.run(800);
    assert_eq!(sim.engine.take_unstored(10, |_| true).len(), 1);
    assert_eq!(sim.engine.has_changes_to_store(), None);
    sim.engine.queue_unconfirmed_changes();
    let rows = sim.engine.take_unstored(10, |_| true);
    let states: Vec<(Arc<str>, State)> = rows
        .into_iter()
        .map(|(_, id, _, p)| (id, p.state))
        .collect();
    assert_eq!(states, [("j".into(), State::Completed)]);
    sim.now = sim.now + Duration::from_millis(1);
}

/// Guards against handing over all runs on each renewal: the list exceeded the size limit of a row
/// in the store, so the leader could not renew.
#[test]
fn lists_only_silent_workers_while_it_leads() {
    let mut sim = Simulation::with_workers(3);
    sim.accept("j", lasting(3));
    sim.run(100);
    assert_eq!(sim.engine.list_busy_workers(sim.now).len(), 3);
    assert!(sim.engine.list_silent_workers(sim.now).is_empty());
    sim.workers.get_mut("i-1").unwrap().silent = true;
    sim.run(50);
    let silent = sim.engine.list_silent_workers(sim.now);
    assert_eq!(silent.len(), 1);
    assert!(silent[0].silent && silent[0].tasks.len() == 1);
}

/// Guards against loading an ended job from an older read of the store and running it again, which
/// breaks the rule TWICE (a task runs twice).
#[test]
fn does_not_take_an_ended_job_from_an_older_read() {
    let mut sim = Simulation::with_workers(2);
    sim.accept("j", record(vec![step(2)]));
    sim.run(1_000);
    assert_eq!(sim.ended["j"].0, State::Completed);
    let wall = sim.wall_ms();
    let older_progress = Some(running_progress());
    sim.engine.load_job(
        &"j".into(),
        record(vec![step(2)]),
        older_progress,
        wall,
        sim.now,
    );
    sim.run(1_000);
    assert_eq!(sim.starts.len(), 2, "each task ran once");
}

/// Guards against a leader without renewals that starts a job which arrived after another instance
/// took over. The new leader could not know of that run and started it too (rule TWICE).
#[test]
fn starts_no_job_that_arrives_long_after_the_last_renewal() {
    let mut sim = Simulation::with_workers(2);
    sim.renew();
    sim.accept("before", record(vec![step(1)]));
    sim.run(1_500);
    sim.accept("after", record(vec![step(1)]));
    sim.run(500);
    assert_eq!(sim.starts_of("before", 0, 0), 1);
    assert_eq!(sim.starts_of("after", 0, 0), 0);
    sim.renew();
    sim.run(100);
    assert_eq!(sim.starts_of("after", 0, 0), 1);
}

/// Guards against a wait that begins anew with each leader, for a worker that the store lists and
/// that answers none of them: the second leader grants it no lease and starts nothing on it.
#[test]
fn does_not_prolong_a_wait_at_the_next_takeover() {
    let old = Simulation::with_workers(2);
    let jobs = [("j", lasting(1), running_progress())];
    let mut second = next_leader(&old, &jobs);
    second.workers.get_mut("i-1").unwrap().silent = true;
    second.engine.inherit(&[], false, second.now);
    second.run(10_000);
    assert!(second.starts.is_empty());
    let silent = second.engine.list_silent_workers(second.now);
    let mut third = next_leader(&second, &jobs);
    third.engine.inherit(&silent, false, third.now);
    third.run(7_000);
    assert_eq!(
        third.starts.len(),
        1,
        "the leases of the first have expired"
    );
}

/// Guards against starting a task beside a run of the last leader that is being stopped, because
/// the new leader heard of the run before it read the job (rule TWICE).
#[test]
fn starts_no_task_of_which_an_unknown_run_still_works() {
    let mut old = Simulation::with_workers(2);
    old.accept("j", lasting(1));
    old.run(100);
    let worker = old.starts[0].0.clone();
    let mut sim = next_leader(&old, &[]);
    sim.workers.get_mut(&worker).unwrap().stops_late = true;
    sim.engine.inherit(&[], false, sim.now);
    sim.run(100);
    sim.accept("j", lasting(1));
    sim.run(300);
    assert!(sim.starts.is_empty(), "{:?}", sim.starts);
    sim.workers.get_mut(&worker).unwrap().stops_late = false;
    sim.run(3_000);
    assert_eq!(sim.running(), 1, "the task runs again");
}
