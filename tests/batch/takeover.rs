use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{Busy, Progress, State, TaskId};

use crate::bed::{Bed, START_MS, config, lasting, offer, record, step};

/// Creates the simulation of the next leader, with the workers of `old`.
fn succeed(old: &Bed, jobs: &[(&str, coriandernotch::batch::Record, Progress)]) -> Bed {
    let mut bed = Bed::new(2, config());
    bed.now = old.now;
    bed.workers = old.workers.clone();
    for (id, record, progress) in jobs {
        let progress = Some(progress.clone());
        bed.engine
            .accept(&(*id).into(), record.clone(), progress, START_MS, bed.now);
    }
    let mut ids: Vec<_> = bed.workers.keys().cloned().collect();
    ids.sort();
    for id in ids {
        bed.engine.offer(offer(&id, "s"));
    }
    bed
}

fn running() -> Progress {
    Progress {
        state: State::Running,
        ..Progress::default()
    }
}

/// Guards against starting tasks a second time: a new leader took the lease of their worker for
/// expired.
#[test]
fn adopts_the_runs_of_the_last_leader() {
    let mut old = Bed::with_workers(3);
    old.accept("j", lasting(2));
    old.run(100);
    let mut bed = succeed(&old, &[("j", lasting(2), running())]);
    bed.engine.inherit(&[], false, bed.now);
    bed.run(3_000);
    assert!(bed.starts.is_empty());
    assert_eq!(bed.running(), 2);
}

/// Guards against starting a task elsewhere that a crashed leader may have started on a worker that
/// does not answer its successor.
#[test]
fn waits_for_a_silent_worker_after_a_crash() {
    let mut old = Bed::with_workers(2);
    old.accept("j", lasting(1));
    old.run(100);
    let worker = old.starts[0].0.clone();
    let mut bed = succeed(&old, &[("j", lasting(1), running())]);
    bed.workers.get_mut(&worker).unwrap().silent = true;
    bed.engine
        .inherit(&old.engine.busy(old.now), false, bed.now);
    bed.run(10_000);
    assert!(bed.starts.is_empty());
    bed.workers.get_mut(&worker).unwrap().silent = false;
    bed.run(500);
    assert!(bed.starts.is_empty());
    assert_eq!(bed.running(), 1);
}

/// Guards against waiting for an unreachable worker with tasks that it does not run. After each
/// rolling restart such tasks waited up to 16 s.
#[test]
fn starts_at_once_what_a_leader_that_resigned_did_not_run() {
    let mut old = Bed::with_workers(3);
    old.accept("j", lasting(1));
    old.run(100);
    let worker = old.starts[0].0.clone();
    let jobs = [("j", lasting(1), running()), ("k", lasting(1), running())];
    let mut bed = succeed(&old, &jobs);
    bed.workers.get_mut(&worker).unwrap().silent = true;
    bed.engine.inherit(&old.engine.busy(old.now), true, bed.now);
    bed.run(200);
    let started: Vec<&str> = bed.starts.iter().map(|(_, task, _)| &*task.job).collect();
    assert_eq!(started, ["k"]);
    bed.run(7_000);
    assert_eq!(bed.starts_of("j", 0, 0), 1, "its lease has run out");
}

/// Guards against taking the store entry of an earlier process on a machine for its replacement.
#[test]
fn takes_only_a_younger_worker_for_a_replacement() {
    let task = TaskId {
        job: "j".into(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let busy = |born_ms| Busy {
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
        let old = Bed::with_workers(1);
        let mut bed = succeed(&old, &[("j", lasting(1), running())]);
        bed.engine.inherit(&[busy(born_ms)], true, bed.now);
        bed.run(1_000);
        assert_eq!(bed.starts.len(), starts, "born {born_ms}");
    }
}

/// Guards against counting a failure twice that is stored and still listed by its worker, which
/// failed the job.
#[test]
fn counts_a_failure_once() {
    let mut old = Bed::with_workers(2);
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
    let mut bed = succeed(&old, &[("j", record(vec![step(1)]), stored)]);
    bed.engine.inherit(&[], true, bed.now);
    bed.run(800);
    assert_eq!(bed.starts.len(), 2, "two of three attempts were left");
}

/// Guards against reusing run numbers of the previous leader, which workers reject.
#[test]
fn numbers_runs_above_those_of_the_last_leader() {
    let old = Bed::with_workers(1);
    let mut bed = succeed(&old, &[("j", record(vec![step(1)]), running())]);
    bed.engine.inherit(&[], true, bed.now);
    bed.run(100);
    assert_eq!(bed.starts[0].2, 1_001);
}

/// Guards against losing changes whose write was aborted after they had been taken for storing.
#[test]
fn lists_changes_again_that_were_taken_and_not_stored() {
    let mut bed = Bed::with_workers(1);
    bed.store_away = true;
    bed.accept("j", record(vec![step(1)]));
    bed.run(800);
    assert_eq!(bed.engine.take_unstored(10, |_| true).len(), 1);
    assert_eq!(bed.engine.unstored(), None);
    bed.engine.mark_unstored();
    let rows = bed.engine.take_unstored(10, |_| true);
    let states: Vec<(Arc<str>, State)> = rows
        .into_iter()
        .map(|(_, id, _, p)| (id, p.state))
        .collect();
    assert_eq!(states, [("j".into(), State::Completed)]);
    bed.now = bed.now + Duration::from_millis(1);
}

/// Guards against handing over all runs on each renewal: the list exceeded the size limit of a row
/// in the store, so the leader could not renew.
#[test]
fn lists_only_silent_workers_while_it_leads() {
    let mut bed = Bed::with_workers(3);
    bed.accept("j", lasting(3));
    bed.run(100);
    assert_eq!(bed.engine.busy(bed.now).len(), 3);
    assert!(bed.engine.report_silent(bed.now).is_empty());
    bed.workers.get_mut("i-1").unwrap().silent = true;
    bed.run(50);
    let silent = bed.engine.report_silent(bed.now);
    assert_eq!(silent.len(), 1);
    assert!(silent[0].silent && silent[0].tasks.len() == 1);
}

/// Guards against waiting for a worker whose machine went down for maintenance between two leaders,
/// which blocked its service for 16 s.
#[test]
fn does_not_wait_for_a_worker_whose_machine_is_down() {
    use coriandernotch::batch::Machine;
    for (up, pool, starts) in [(true, "s", 0), (false, "s", 1), (true, "spare", 1)] {
        let old = Bed::with_workers(2);
        let mut bed = succeed(&old, &[("j", lasting(1), running())]);
        bed.workers.get_mut("i-1").unwrap().silent = true;
        bed.engine.inherit(&[], false, bed.now);
        bed.run(500);
        bed.engine.withdraw("i-1");
        let machine = Machine {
            name: "m-i-1".into(),
            pool: pool.into(),
            up,
            ..Machine::default()
        };
        bed.engine.set_machines(vec![machine]);
        bed.run(500);
        assert_eq!(bed.starts.len(), starts, "up {up}, in {pool}");
    }
}

/// Guards against loading an ended job from an older read of the store and running it again, which
/// breaks the rule TWICE (a task runs twice).
#[test]
fn does_not_take_an_ended_job_from_an_older_read() {
    let mut bed = Bed::with_workers(2);
    bed.accept("j", record(vec![step(2)]));
    bed.run(1_000);
    assert_eq!(bed.ended["j"].0, State::Completed);
    let wall = bed.wall_ms();
    let read_before = Some(running());
    bed.engine.accept(
        &"j".into(),
        record(vec![step(2)]),
        read_before,
        wall,
        bed.now,
    );
    bed.run(1_000);
    assert_eq!(bed.starts.len(), 2, "each task ran once");
}

/// Guards against a leader without renewals that starts a job which arrived after another instance
/// took over. The new leader could not know of that run and started it too (rule TWICE).
#[test]
fn starts_no_job_that_arrives_long_after_the_last_renewal() {
    let mut bed = Bed::with_workers(2);
    bed.engine.renewed(bed.now);
    bed.accept("before", record(vec![step(1)]));
    bed.run(1_500);
    bed.accept("after", record(vec![step(1)]));
    bed.run(500);
    assert_eq!(bed.starts_of("before", 0, 0), 1);
    assert_eq!(bed.starts_of("after", 0, 0), 0);
    bed.engine.renewed(bed.now);
    bed.run(100);
    assert_eq!(bed.starts_of("after", 0, 0), 1);
}

/// Guards against starting a task on a worker that the stored list shows as silent, once it answers
/// again. The next leader took that older list as complete and started the task elsewhere (rule
/// TWICE).
#[test]
fn starts_nothing_on_a_worker_that_is_stored_as_silent() {
    let mut bed = Bed::with_workers(1);
    bed.accept("j", lasting(1));
    bed.run(100);
    bed.workers.get_mut("i-0").unwrap().silent = true;
    bed.run(50);
    assert_eq!(bed.engine.report_silent(bed.now).len(), 1);
    bed.engine.renewed(bed.now);
    bed.workers.get_mut("i-0").unwrap().silent = false;
    bed.accept("k", lasting(1));
    bed.run(200);
    assert_eq!(bed.starts_of("k", 0, 0), 0);
    assert!(bed.engine.report_silent(bed.now).is_empty());
    bed.run(200);
    assert_eq!(bed.starts_of("k", 0, 0), 0, "the list is not stored yet");
    bed.engine.renewed(bed.now);
    bed.run(200);
    assert_eq!(bed.starts_of("k", 0, 0), 1);
}

/// Guards against an incomplete list of a leader that resigned before some worker had answered it:
/// the next leader started the runs on that worker again (rule TWICE).
#[test]
fn hands_over_what_it_has_not_heard_itself() {
    for resigned in [false, true] {
        let mut first = Bed::with_workers(2);
        first.accept("j", lasting(1));
        first.run(100);
        let worker = first.starts[0].0.clone();
        let jobs = [("j", lasting(1), running())];
        let mut second = succeed(&first, &jobs);
        second.workers.get_mut(&worker).unwrap().silent = true;
        let left = first.engine.busy(first.now);
        second.engine.inherit(&left, resigned, second.now);
        second.run(50);
        let mut third = succeed(&second, &jobs);
        let left = second.engine.busy(second.now);
        third.engine.inherit(&left, true, third.now);
        third.run(2_000);
        assert!(third.starts.is_empty(), "resigned: {resigned}");
        third.workers.get_mut(&worker).unwrap().silent = false;
        third.run(500);
        assert!(third.starts.is_empty(), "resigned: {resigned}");
    }
}

/// Guards against the same fault when the leader in between crashed: its row did not mention a
/// worker that the store no longer listed.
#[test]
fn a_row_tells_of_unlisted_workers_that_were_not_heard() {
    let mut first = Bed::with_workers(2);
    first.accept("j", lasting(1));
    first.run(100);
    let worker = first.starts[0].0.clone();
    let jobs = [("j", lasting(1), running())];
    let unlisted = |bed: &mut Bed| bed.workers.remove(&worker).unwrap();
    let left = first.engine.busy(first.now);
    unlisted(&mut first);
    let mut second = succeed(&first, &jobs);
    second.engine.inherit(&left, true, second.now);
    second.run(50);
    let left = second.engine.report_silent(second.now);
    let mut third = succeed(&second, &jobs);
    third.engine.inherit(&left, false, third.now);
    third.run(2_000);
    assert!(third.starts.is_empty());
}
