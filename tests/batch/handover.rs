use coriandernotch::batch::Occupancy;

use crate::simulation::{START_MS, Simulation, config, lasting, profile};
use crate::takeover::{next_leader, running_progress};

/// Guards against starting a task on a worker that the stored list shows as silent, once it answers
/// again. The next leader took that older list as complete and started the task elsewhere (rule
/// TWICE).
#[test]
fn starts_nothing_on_a_worker_that_is_stored_as_silent() {
    let mut sim = Simulation::with_workers(1);
    sim.accept("j", lasting(1));
    sim.run(100);
    sim.workers.get_mut("i-0").unwrap().silent = true;
    sim.run(50);
    assert_eq!(sim.engine.list_silent_workers(sim.now).len(), 1);
    sim.renew();
    sim.workers.get_mut("i-0").unwrap().silent = false;
    sim.accept("k", lasting(1));
    sim.run(200);
    assert_eq!(sim.starts_of("k", 0, 0), 0);
    assert!(sim.engine.list_silent_workers(sim.now).is_empty());
    sim.run(200);
    assert_eq!(sim.starts_of("k", 0, 0), 0, "the list is not stored yet");
    sim.renew();
    sim.run(200);
    assert_eq!(sim.starts_of("k", 0, 0), 1);
}

/// Guards against an incomplete list of a leader that resigned before some worker had answered it:
/// the next leader started the runs on that worker again (rule TWICE).
#[test]
fn hands_over_workers_that_have_not_answered() {
    for resigned in [false, true] {
        let mut first = Simulation::with_workers(2);
        first.accept("j", lasting(1));
        first.run(100);
        let worker = first.starts[0].0.clone();
        let jobs = [("j", lasting(1), running_progress())];
        let mut second = next_leader(&first, &jobs);
        second.workers.get_mut(&worker).unwrap().silent = true;
        let handover = first.engine.list_busy_workers(first.now);
        second.engine.inherit(&handover, resigned, second.now);
        second.run(50);
        let mut third = next_leader(&second, &jobs);
        let handover = second.engine.list_busy_workers(second.now);
        third.engine.inherit(&handover, true, third.now);
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
fn lists_unlisted_workers_that_have_not_answered() {
    let mut first = Simulation::with_workers(2);
    first.accept("j", lasting(1));
    first.run(100);
    let worker = first.starts[0].0.clone();
    let jobs = [("j", lasting(1), running_progress())];
    let unlist = |sim: &mut Simulation| sim.workers.remove(&worker).unwrap();
    let handover = first.engine.list_busy_workers(first.now);
    unlist(&mut first);
    let mut second = next_leader(&first, &jobs);
    second.engine.inherit(&handover, true, second.now);
    second.run(50);
    let handover = second.engine.list_silent_workers(second.now);
    let mut third = next_leader(&second, &jobs);
    third.engine.inherit(&handover, false, third.now);
    third.run(2_000);
    assert!(third.starts.is_empty());
}

/// Guards against a leader that crashes before its first renewal: the row which it stored when it
/// took over named the runs on a worker that had not answered the leader before, and this leader
/// has started tasks there since (rule TWICE).
#[test]
fn finds_the_starts_of_a_leader_that_never_renewed() {
    let mut first = Simulation::with_workers(1);
    first.accept("j", lasting(1));
    first.run(100);
    first.workers.get_mut("i-0").unwrap().silent = true;
    first.run(3_000);
    let row = first.engine.list_silent_workers(first.now);
    first.workers.get_mut("i-0").unwrap().silent = false;
    let jobs = [
        ("j", lasting(1), running_progress()),
        ("k", lasting(1), running_progress()),
    ];
    let mut second = next_leader(&first, &jobs);
    second.engine.inherit(&row, false, second.now);
    let row: Vec<Occupancy> = row.iter().map(Occupancy::outdated).collect();
    second.run(1_000);
    assert_eq!(second.starts_of("k", 0, 0), 1);
    assert_eq!(second.running(), 2);
    second.workers.get_mut("i-0").unwrap().silent = true;
    second.workers.entry("i-1".into()).or_default();
    let mut third = next_leader(&second, &jobs);
    third.engine.inherit(&row, false, third.now);
    third.run(4_000);
    assert!(third.starts.is_empty(), "{:?}", third.starts);
    third.workers.get_mut("i-0").unwrap().silent = false;
    third.run(500);
    assert_eq!((third.starts.len(), third.running()), (0, 2));
}

/// Guards against a leader without renewals that starts tasks on a process which was started after
/// another instance took over. Such a process does not know the higher fencing token, and the new
/// leader runs the same tasks elsewhere (rule TWICE).
#[test]
fn starts_nothing_on_a_process_that_is_newer_than_the_last_renewal() {
    let mut sim = Simulation::with_workers(2);
    sim.renew();
    sim.accept("j", lasting(2));
    sim.run(1_500);
    assert_eq!(sim.starts.len(), 2);
    sim.workers.get_mut("i-0").unwrap().restart();
    sim.run(1_000);
    assert_eq!(sim.starts.len(), 2);
    sim.renew();
    sim.run(100);
    assert_eq!(sim.starts.len(), 3);
}

/// Guards against releasing the runs of a worker at its first answer, because this leader has not
/// renewed their lease yet. The worker was neither listed nor stored when the leader took over, as
/// after a leader of an older version.
#[test]
fn adopts_the_runs_of_a_worker_that_it_did_not_expect() {
    let mut old = Simulation::with_workers(1);
    old.accept("j", lasting(1));
    old.run(100);
    let mut sim = Simulation::new(2, config());
    sim.now = old.now;
    let progress = Some(running_progress());
    sim.engine
        .load_job(&"j".into(), lasting(1), progress, START_MS, sim.now);
    sim.engine.inherit(&[], false, sim.now);
    sim.workers = old.workers.clone();
    sim.engine.update_worker(profile("i-0", "s"));
    sim.run(1_000);
    assert!(sim.starts.is_empty());
    assert_eq!(sim.running(), 1);
}
