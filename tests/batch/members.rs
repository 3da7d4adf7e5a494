use coriandernotch::batch::{Member, Profile, State};

use crate::simulation::{START_MS, Simulation, config, lasting, profile, record, step};
use crate::takeover::{next_leader, running_progress};

/// Creates a leader with two workers that are stored as members, and a job with one lasting task.
/// Returns also the members and the worker that runs the task.
fn leader_with_task() -> (Simulation, Vec<Member>, std::sync::Arc<str>) {
    let mut sim = Simulation::with_workers(2);
    let members = sim.renew().added;
    sim.accept("j", lasting(1));
    sim.run(100);
    let worker = sim.starts[0].0.clone();
    (sim, members, worker)
}

/// Creates the next leader after a crash, at a time at which the store does not list `unlisted`.
fn successor(old: &Simulation, members: Vec<Member>, unlisted: &str) -> Simulation {
    let mut listed = Simulation::with_workers(0);
    listed.now = old.now;
    listed.workers = old.workers.clone();
    let worker = listed.workers.remove(unlisted).unwrap();
    let jobs = [("j", lasting(1), running_progress())];
    let mut sim = next_leader(&listed, &jobs);
    sim.workers.insert(unlisted.into(), worker);
    sim.engine.restore_members(members);
    sim.engine.inherit(&[], false, sim.now);
    sim
}

/// Guards against starting a task again whose worker is missing in the list that the new leader
/// reads (rule TWICE).
#[test]
fn adopts_the_run_of_a_member_that_is_not_listed() {
    let (old, members, worker) = leader_with_task();
    let mut sim = successor(&old, members, &worker);
    sim.renew();
    sim.run(3_000);
    assert!(sim.starts.is_empty());
    assert_eq!(sim.running(), 1);
    sim.engine.update_worker(profile(&worker, "s"));
    sim.run(500);
    assert_eq!((sim.starts.len(), sim.running()), (0, 1));
}

/// Guards against taking such a worker for gone when it does not answer either: its lease may have
/// been renewed until just now.
#[test]
fn waits_for_a_silent_member_that_is_not_listed() {
    let (old, members, worker) = leader_with_task();
    let mut sim = successor(&old, members, &worker);
    sim.workers.get_mut(&worker).unwrap().silent = true;
    sim.renew();
    sim.run(10_000);
    assert!(sim.starts.is_empty());
    sim.run(8_000);
    assert!(sim.starts.is_empty(), "another instance may lead");
    sim.renew();
    sim.run(100);
    assert_eq!(sim.starts_of("j", 0, 0), 1, "its lease has expired");
    assert_eq!(sim.renew().removed, [worker]);
}

/// Guards against taking a member for gone because another process has the address under which it
/// is listed. An older registration that is stored late names the address of an earlier process, and
/// a new leader has no answer yet that shows where the member is (rule TWICE).
#[test]
fn waits_for_a_member_that_is_listed_at_another_address() {
    let (old, members, worker) = leader_with_task();
    let mut sim = next_leader(&old, &[("j", lasting(1), running_progress())]);
    let older = Profile {
        born_ms: 0,
        address: "127.0.0.1:2".into(),
        ..profile(&worker, "s")
    };
    let key = sim.engine.update_worker(older);
    sim.engine.restore_members(members);
    sim.engine.inherit(&[], false, sim.now);
    sim.workers.get_mut(&worker).unwrap().silent = true;
    for _ in 0..5 {
        sim.engine.record_replaced_process(key, sim.now, sim.now);
        sim.run(200);
    }
    assert!(sim.starts.is_empty());
}

/// Guards against a new leader that waits for an entry at which no worker has ever answered. Tasks
/// of its service that the previous leader had not started waited for 16 s.
#[test]
fn does_not_wait_for_an_entry_at_which_no_worker_has_answered() {
    let mut old = Simulation::with_workers(1);
    old.add(profile("odd", "s"));
    old.workers.get_mut("odd").unwrap().silent = true;
    old.run(100);
    let members = old.renew().added;
    let mut sim = Simulation::new(2, config());
    (sim.now, sim.workers) = (old.now, old.workers.clone());
    let job = Some(running_progress());
    sim.engine
        .load_job(&"j".into(), record(vec![step(1)]), job, START_MS, sim.now);
    for id in ["i-0", "odd"] {
        sim.engine.update_worker(profile(id, "s"));
    }
    sim.engine.restore_members(members);
    sim.engine.inherit(&[], false, sim.now);
    sim.run(300);
    assert_eq!(sim.starts_of("j", 0, 0), 1);
}

/// Guards against a start that the next leader could not find: the worker is not stored yet when
/// the leader crashes, and its registration expires.
#[test]
fn starts_nothing_on_a_worker_that_is_not_stored() {
    let mut sim = Simulation::with_workers(1);
    sim.engine.record_renewal(sim.now);
    sim.accept("j", record(vec![step(1)]));
    sim.run(300);
    assert!(sim.engine.has_unstored_members());
    assert!(sim.starts.is_empty());
    // A renewal that fails stores nothing, so the next one repeats the change.
    let first = sim.engine.take_member_changes();
    sim.run(300);
    assert!(sim.starts.is_empty());
    assert_eq!(sim.renew(), first);
    sim.run(300);
    assert_eq!(sim.starts.len(), 1);
}

/// Guards against a row that names an earlier process of a worker: the next leader would take its
/// successor for another service's process and not wait for it.
#[test]
fn stores_a_worker_again_that_was_restarted() {
    let mut sim = Simulation::with_workers(1);
    assert_eq!(sim.renew().added.len(), 1);
    assert!(sim.renew().added.is_empty());
    let mut restarted = profile("i-0", "s");
    restarted.born_ms += 1;
    sim.engine.update_worker(restarted);
    assert!(sim.engine.has_unstored_members());
    assert_eq!(sim.renew().added[0].born_ms, 2);
    assert!(!sim.engine.has_unstored_members());
}

/// Guards against deleting the row of a worker while the store does not hold its ends yet. The next
/// leader would run ended tasks again.
#[test]
fn keeps_a_worker_until_its_ends_are_stored() {
    let mut sim = Simulation::with_workers(1);
    sim.renew();
    sim.store_unavailable = true;
    sim.accept("j", record(vec![step(1)]));
    sim.run(800);
    assert_eq!((sim.starts.len(), sim.running()), (1, 0));
    sim.engine.mark_delisted("i-0");
    sim.run(200);
    assert!(sim.renew().removed.is_empty());
    sim.store_unavailable = false;
    sim.run(200);
    assert_eq!(sim.ended["j"].0, State::Completed);
    assert_eq!(sim.renew().removed, ["i-0".into()]);
}

/// Guards against a transaction with more rows than the store takes, by which a large fleet could
/// not renew its leadership.
#[test]
fn stores_many_members_in_several_renewals() {
    let mut sim = Simulation::with_workers(200);
    let counts: Vec<usize> = (0..4).map(|_| sim.renew().added.len()).collect();
    assert_eq!(counts, [80, 80, 40, 0]);
}

/// Guards against taking a worker for its own replacement when it registers again after a restart
/// under the same id: the previous leader may have started tasks on the new process before it read
/// that registration (rule TWICE).
#[test]
fn waits_for_a_member_that_was_restarted_under_the_same_id() {
    let (old, members, worker) = leader_with_task();
    let mut sim = successor(&old, members, &worker);
    sim.workers.get_mut(&worker).unwrap().silent = true;
    sim.run(500);
    let mut restarted = profile(&worker, "s");
    restarted.born_ms += 1;
    sim.engine.update_worker(restarted);
    sim.renew();
    sim.run(3_000);
    assert!(sim.starts.is_empty());
    sim.workers.get_mut(&worker).unwrap().silent = false;
    sim.run(500);
    assert_eq!((sim.starts.len(), sim.running()), (0, 1));
}
