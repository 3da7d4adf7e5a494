use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{Machine, Order, Reply};
use coriandernotch::clock::Instant;

use crate::pools::machine;
use crate::simulation::{Simulation, lasting, old_connection, record, step};
use crate::takeover::{next_leader, running_progress};

/// Guards against waiting for a worker whose machine went down for maintenance between two leaders,
/// which blocked its service for 16 s.
#[test]
fn does_not_wait_for_a_worker_whose_machine_is_down() {
    for (up, pool, starts) in [(true, "s", 0), (false, "s", 1), (true, "spare", 1)] {
        let old = Simulation::with_workers(2);
        let mut sim = next_leader(&old, &[("j", lasting(1), running_progress())]);
        sim.workers.get_mut("i-1").unwrap().silent = true;
        sim.engine.inherit(&[], false, sim.now);
        sim.run(500);
        sim.engine.mark_delisted("i-1");
        let machine = Machine {
            pool: pool.into(),
            up,
            ..machine("m-i-1", "s")
        };
        sim.engine.set_machines(vec![machine]);
        sim.run(500);
        assert_eq!(sim.starts.len(), starts, "up {up}, in {pool}");
    }
}

/// Guards against lasting tasks that do not run although there is room (rule LOST): a new leader
/// waited for a worker that was lost for good until all leases of the last leader had expired, for
/// 16 s. The rule allows 9 s from the loss, of which a takeover takes up to 2.5 s.
#[test]
fn starts_the_lasting_tasks_of_a_worker_whose_machine_is_gone() {
    let old = Simulation::with_workers(2);
    let mut sim = next_leader(&old, &[("j", lasting(1), running_progress())]);
    sim.workers.get_mut("i-1").unwrap().silent = true;
    sim.engine.inherit(&[], false, sim.now);
    sim.run(2_500);
    sim.engine.mark_delisted("i-1");
    for _ in 0..2 {
        sim.engine.set_machines(vec![machine("m-i-0", "s")]);
        sim.run(2_000);
    }
    assert_eq!(sim.starts.len(), 1);
}

/// Guards against taking a worker for lost that may still run its tasks, which would start a second
/// time (rule TWICE): one list of machines may lack its machine, and a worker that the store lists
/// has renewed its registration.
#[test]
fn waits_for_a_worker_that_one_source_still_shows() {
    let gone = || vec![machine("m-i-0", "s")];
    let all = || vec![machine("m-i-0", "s"), machine("m-i-1", "s")];
    let lists: [(&str, bool, Vec<Vec<Machine>>); 5] = [
        ("one list", true, vec![gone()]),
        ("listed in the store", false, vec![gone(), gone(), gone()]),
        ("listed in between", true, vec![gone(), all(), gone()]),
        ("listed in the end", true, vec![gone(), all()]),
        (
            "empty lists",
            true,
            vec![Vec::new(), Vec::new(), Vec::new()],
        ),
    ];
    for (case, delisted, lists) in lists {
        let old = Simulation::with_workers(2);
        let mut sim = next_leader(&old, &[("j", lasting(1), running_progress())]);
        sim.workers.get_mut("i-1").unwrap().silent = true;
        sim.engine.inherit(&[], false, sim.now);
        sim.run(500);
        if delisted {
            sim.engine.mark_delisted("i-1");
        }
        for list in lists {
            sim.engine.set_machines(list);
            sim.run(2_000);
        }
        assert_eq!(sim.starts.len(), 0, "{case}");
    }
}

/// Creates a simulation in which a lasting task runs on a worker that no longer answers. Returns also
/// the worker.
fn with_silent_worker() -> (Simulation, Arc<str>) {
    let mut sim = Simulation::with_workers(2);
    sim.accept("j", lasting(1));
    sim.run(100);
    let worker = sim.starts[0].0.clone();
    sim.workers.get_mut(&worker).unwrap().silent = true;
    sim.run(100);
    (sim, worker)
}

/// Passes a list to the engine, asked for at `sent`, that shows the machine of a worker as stopped.
fn list_as_stopped(sim: &mut Simulation, worker: &str, sent: Instant) {
    let stopped = Machine {
        up: false,
        ..machine(&format!("m-{worker}"), "s")
    };
    sim.engine.set_machines(vec![stopped]);
    sim.engine.release_runs_on_stopped_machines(sent, sim.now);
    sim.run(100);
}

/// Guards against tasks that wait for the lease of a worker that has crashed, although the platform
/// shows that its machine is not running.
#[test]
fn restarts_a_task_at_once_whose_machine_is_not_running() {
    let (mut sim, worker) = with_silent_worker();
    assert!(sim.engine.awaits_machine_list());
    let sent = sim.now;
    list_as_stopped(&mut sim, &worker, sent);
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against giving up runs by a list that is older than the last answer of their worker, or
/// while another instance may lead (rule TWICE).
#[test]
fn keeps_the_runs_of_a_worker_that_may_run() {
    let (mut sim, worker) = with_silent_worker();
    let before_last_answer = sim.now - Duration::from_millis(150);
    list_as_stopped(&mut sim, &worker, before_last_answer);
    assert_eq!(sim.starts.len(), 1, "an older list");
    sim.renew();
    sim.run(1_500);
    let sent = sim.now;
    list_as_stopped(&mut sim, &worker, sent);
    assert_eq!(sim.starts.len(), 1, "no renewal for 1.5 s");
}

/// Guards against giving up a run whose start order is in transit: it may reach the next process on
/// the machine (rule TWICE).
#[test]
fn keeps_a_run_whose_order_may_reach_the_next_process() {
    let mut sim = Simulation::with_workers(2);
    sim.run_ms = 60_000;
    sim.accept("j", record(vec![step(1)]));
    for worker in sim.workers.values_mut() {
        worker.silent = true;
    }
    let wall = sim.wall_ms();
    sim.engine.place(sim.now, wall);
    let orders = sim.engine.take_orders();
    let Some((key, Order::Start(run))) = orders.into_iter().next() else {
        panic!("a start order");
    };
    assert!(
        sim.engine
            .grant_lease(key, old_connection(), sim.now)
            .is_some()
    );
    sim.engine
        .record_start_outcome(run, &Reply::Unknown, None, sim.now);
    sim.engine.record_no_answer(key);
    let addresses = sim.engine.worker_addresses();
    let (_, worker, _) = addresses.into_iter().find(|(k, ..)| *k == key).unwrap();
    for (id, state) in &mut sim.workers {
        state.silent = *id == worker;
    }
    let sent = sim.now;
    list_as_stopped(&mut sim, &worker, sent);
    sim.run(1_000);
    assert!(sim.starts.is_empty());
}
