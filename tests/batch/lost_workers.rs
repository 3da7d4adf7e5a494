use coriandernotch::batch::Machine;

use crate::pools::machine;
use crate::simulation::{Simulation, lasting};
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
