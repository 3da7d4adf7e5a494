use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::Wave;

use crate::pools::{fleet_config, machine};
use crate::simulation::{Simulation, lasting, profile, record, step};
use crate::takeover::{next_leader, running_progress};

pub(crate) fn wave(sim: &Simulation, machines: &[&str], maximum: usize, within: Duration) -> Wave {
    Wave {
        number: 1,
        machines: machines.iter().map(|m| Arc::from(*m)).collect(),
        maximum,
        within,
        due: sim.now + within,
    }
}

/// Carries out maintenance as the platform would, and adds a new worker after it.
fn carry_out_maintenance(sim: &mut Simulation, ticks: usize) -> Vec<(u64, Arc<str>)> {
    let mut begun = Vec::new();
    for tick in 0..ticks {
        sim.run(100);
        for (number, machine) in sim.engine.maintenance_due() {
            sim.engine
                .record_maintenance_start(number, &machine, sim.now);
            let old_id = machine.strip_prefix("m-").unwrap_or_default().to_owned();
            if sim.workers.contains_key(&*old_id) {
                sim.engine.mark_delisted(&old_id);
                let mut new = profile(&format!("{old_id}-{tick}"), "s");
                (new.machine, new.born_ms) = (machine.clone(), 9);
                sim.add(new);
            }
            begun.push((sim.wall_ms(), machine));
        }
    }
    begun
}

/// Guards against stopping two tasks at once of a step that allows one to be down.
#[test]
fn moves_one_lasting_task_of_a_step_at_a_time() {
    let mut sim = Simulation::with_workers(4);
    sim.accept("j", lasting(3));
    sim.run(100);
    let machines = ["m-i-0", "m-i-1", "m-i-2", "m-i-3"];
    let wave = wave(&sim, &machines, 4, Duration::from_secs(1));
    sim.engine.set_waves(vec![wave]);
    let mut fewest = usize::MAX;
    for _ in 0..100 {
        carry_out_maintenance(&mut sim, 1);
        fewest = fewest.min(sim.running());
    }
    assert!(fewest >= 2, "{fewest} of 3 tasks were running");
    assert_eq!(sim.engine.wave_reports(), [(1, true)]);
}

/// Guards against maintaining all machines of a wave at once, which left the pool without capacity.
#[test]
fn spreads_a_wave_over_its_time() {
    let mut sim = Simulation::with_workers(8);
    let machines: Vec<String> = (0..8).map(|n| format!("m-i-{n}")).collect();
    let machines: Vec<&str> = machines.iter().map(String::as_str).collect();
    let wave = wave(&sim, &machines, 8, Duration::from_secs(60));
    sim.engine.set_waves(vec![wave]);
    for _ in 0..8 {
        let begun = carry_out_maintenance(&mut sim, 1);
        assert!(
            begun.len() <= 1,
            "there is time to maintain one after another"
        );
    }
}

/// Guards against skipping machines that are switched off: they have no worker and were never
/// maintained.
#[test]
fn maintains_a_machine_without_a_worker() {
    let mut sim = Simulation::with_workers(1);
    let wave = wave(&sim, &["m-off"], 1, Duration::from_secs(10));
    sim.engine.set_waves(vec![wave]);
    assert_eq!(carry_out_maintenance(&mut sim, 2).len(), 1);
    sim.run(4_000);
    assert_eq!(sim.engine.wave_reports(), [(1, true)]);
}

/// Guards against taking a machine down while only its worker knows of an end, which is then lost.
#[test]
fn waits_until_the_ends_of_a_worker_are_stored() {
    let mut sim = Simulation::with_workers(1);
    sim.accept("j", record(vec![step(1)]));
    sim.run(100);
    sim.store_unavailable = true;
    let wave = wave(&sim, &["m-i-0"], 1, Duration::from_secs(10));
    sim.engine.set_waves(vec![wave]);
    sim.run(1_500);
    assert!(sim.engine.maintenance_due().is_empty());
    sim.store_unavailable = false;
    sim.run(50);
    assert_eq!(sim.engine.maintenance_due().len(), 1);
}

/// Guards against a new leader that empties machines again which are already maintained.
#[test]
fn remembers_machines_maintained_by_the_previous_leader() {
    let mut sim = Simulation::with_workers(2);
    let wave = wave(&sim, &["m-i-0"], 1, Duration::from_secs(10));
    sim.engine.set_waves(vec![wave]);
    sim.engine.restore_maintained(&[(1, vec!["m-i-0".into()])]);
    sim.run(500);
    assert!(sim.engine.maintenance_due().is_empty());
    assert_eq!(sim.engine.wave_reports(), [(1, true)]);
}

/// Guards against counting a machine as back because the store still lists an earlier process on
/// it: one machine too many went down.
#[test]
fn counts_a_machine_as_down_despite_an_earlier_process() {
    let mut sim = Simulation::with_workers(0);
    for (id, machine, born_ms) in [("a-2", "m-a", 5), ("a-1", "m-a", 3), ("b-1", "m-b", 3)] {
        let mut worker = profile(id, "s");
        (worker.machine, worker.born_ms) = (machine.into(), born_ms);
        sim.add(worker);
    }
    sim.run(100);
    let wave = wave(&sim, &["m-a", "m-b"], 1, Duration::from_secs(1));
    sim.engine.set_waves(vec![wave]);
    sim.run(100);
    let (number, machine) = sim.engine.maintenance_due()[0].clone();
    sim.engine
        .record_maintenance_start(number, &machine, sim.now);
    // The store lists the earlier process for some time.
    let mut earlier = profile("a-1", "s");
    (earlier.machine, earlier.born_ms) = ("m-a".into(), 3);
    sim.add(earlier);
    sim.run(500);
    assert!(sim.engine.maintenance_due().is_empty());
}

/// Guards against taking a machine down whose worker has not answered the new leader yet: it may
/// run lasting tasks of which no more may be down (rule AVAIL).
#[test]
fn maintains_no_machine_whose_worker_has_not_answered_the_new_leader() {
    for (resigned, is_listed) in [(false, true), (true, true), (true, false)] {
        let mut old = Simulation::with_workers(2);
        old.accept("j", lasting(1));
        old.run(100);
        let worker = old.starts[0].0.clone();
        let machine = format!("m-{worker}");
        let handover = old.engine.list_busy_workers(old.now);
        if !is_listed {
            old.workers.remove(&worker);
        }
        let mut sim = next_leader(&old, &[("j", lasting(1), running_progress())]);
        if is_listed {
            sim.workers.get_mut(&worker).unwrap().silent = true;
        }
        sim.engine.inherit(&handover, resigned, sim.now);
        let wave = wave(&sim, &[&machine], 1, Duration::from_secs(10));
        sim.engine.set_waves(vec![wave]);
        sim.run(4_000);
        let case = format!("resigned {resigned}, listed {is_listed}");
        assert!(sim.engine.maintenance_due().is_empty(), "{case}");
        sim.run(14_000);
        assert_eq!(
            sim.engine.maintenance_due().len(),
            1,
            "{case}: its lease has expired"
        );
    }
}

/// Guards against waiting for a process that started later than one which another writer has listed
/// for the machine: the wave went on only after the time in which a worker must return.
#[test]
fn counts_a_machine_as_back_despite_a_bogus_entry() {
    let mut sim = Simulation::with_workers(1);
    let mut bogus = profile("bogus", "s");
    (bogus.machine, bogus.born_ms) = ("m-i-0".into(), u64::MAX);
    sim.add(bogus);
    sim.workers.get_mut("bogus").unwrap().silent = true;
    let wave = wave(&sim, &["m-i-0"], 1, Duration::from_secs(10));
    sim.engine.set_waves(vec![wave]);
    assert_eq!(carry_out_maintenance(&mut sim, 2).len(), 1);
    sim.run(1_000);
    assert_eq!(sim.engine.wave_reports(), [(1, true)]);
}

/// Lists the machines of the workers `ids`, as the platform does every two seconds.
fn list_machines(sim: &mut Simulation, ids: &[&str]) {
    let machines = ids.iter().map(|id| machine(&format!("m-{id}"), "s"));
    sim.engine.set_machines(machines.collect());
}

/// Guards against a wave that never ends because one of its machines was lost for good: the platform
/// refuses its maintenance, and the order was repeated every second.
#[test]
fn completes_a_wave_of_which_a_machine_is_gone() {
    let mut sim = Simulation::with_workers(2);
    let wave = wave(&sim, &["m-i-0", "m-gone"], 1, Duration::from_secs(20));
    sim.engine.set_waves(vec![wave]);
    let mut refusals = 0;
    for _ in 0..20 {
        list_machines(&mut sim, &["i-0", "i-1"]);
        for _ in 0..20 {
            sim.run(100);
            for (number, machine) in sim.engine.maintenance_due() {
                if &*machine == "m-gone" {
                    sim.engine
                        .record_refused_maintenance(number, &machine, sim.now);
                    refusals += 1;
                } else {
                    sim.engine
                        .record_maintenance_start(number, &machine, sim.now);
                    sim.engine.mark_delisted("i-0");
                    let mut new = profile("i-2", "s");
                    (new.machine, new.born_ms) = (machine.clone(), 9);
                    sim.add(new);
                }
            }
        }
    }
    assert_eq!(
        sim.engine.wave_reports(),
        [(1, true)],
        "{refusals} orders were refused"
    );
}

/// Guards against a machine that is lost for good during its maintenance and keeps the next one
/// waiting for 15 s.
#[test]
fn goes_on_with_a_wave_when_a_machine_is_lost_during_its_maintenance() {
    let mut sim = Simulation::with_workers(2);
    let wave = wave(&sim, &["m-i-0", "m-i-1"], 1, Duration::from_secs(20));
    sim.engine.set_waves(vec![wave]);
    list_machines(&mut sim, &["i-0", "i-1"]);
    sim.run(100);
    let (number, machine) = sim.engine.maintenance_due()[0].clone();
    sim.engine
        .record_maintenance_start(number, &machine, sim.now);
    let lost = machine.strip_prefix("m-").unwrap().to_owned();
    sim.engine.mark_delisted(&lost);
    sim.workers.get_mut(&*lost).unwrap().silent = true;
    let left = if lost == "i-0" { "i-1" } else { "i-0" };
    for _ in 0..3 {
        list_machines(&mut sim, &[left]);
        sim.run(2_000);
    }
    assert_eq!(sim.engine.maintenance_due().len(), 1);
}

/// Runs a wave over all workers, whose machines are back `down_for` after their maintenance began.
/// Returns when the maintenance of each machine began, in milliseconds after the start of the wave.
fn run_wave(sim: &mut Simulation, wave: Wave, down_for: Duration) -> Vec<u64> {
    let (start_ms, end) = (sim.wall_ms(), wave.due);
    sim.engine.set_waves(vec![wave]);
    let (mut begun_ms, mut down) = (Vec::new(), Vec::new());
    while sim.now < end {
        sim.run(100);
        for (number, machine) in sim.engine.maintenance_due() {
            sim.engine
                .record_maintenance_start(number, &machine, sim.now);
            let id = machine.strip_prefix("m-").unwrap_or_default().to_owned();
            sim.engine.mark_delisted(&id);
            let worker = sim.workers.get_mut(&*id).unwrap();
            worker.silent = true;
            down.push((sim.now + down_for, id));
            begun_ms.push(sim.wall_ms() - start_ms);
        }
        let now = sim.now;
        for (_, id) in down.extract_if(.., |(until, _)| *until <= now) {
            let mut new = profile(&format!("{id}-again"), "s");
            (new.machine, new.born_ms) = (format!("m-{id}").into(), sim.wall_ms());
            sim.add(new);
        }
    }
    begun_ms
}

/// Guards against a wave that slows down towards its end, so that its last machine begins within the
/// last second: any delay of that one, such as a move to another pool, then makes the wave late.
#[test]
fn begins_the_last_machine_well_before_the_end_of_a_wave() {
    let mut sim = Simulation::with_workers(60);
    let machines: Vec<String> = (0..60).map(|n| format!("m-i-{n}")).collect();
    let machines: Vec<&str> = machines.iter().map(String::as_str).collect();
    let within = Duration::from_secs(60);
    let wave = wave(&sim, &machines, 60, within);
    let begun_ms = run_wave(&mut sim, wave, Duration::from_millis(3_500));
    assert_eq!(begun_ms.len(), 60);
    let limit_ms = within.mul_f64(0.9).as_millis() as u64;
    let last_ms = begun_ms.iter().max();
    assert!(last_ms < Some(&limit_ms), "{last_ms:?} ms");
}

/// Guards against an order to maintain a machine that is on its way to another pool: the platform
/// refuses it, and the machine loses its turn.
#[test]
fn maintains_no_machine_on_its_way_to_another_pool() {
    let mut sim = Simulation::with_workers(2);
    list_machines(&mut sim, &["i-0", "i-1"]);
    sim.run(100);
    sim.engine
        .record_move(&"m-i-0".into(), &"t".into(), sim.now);
    let wave = wave(&sim, &["m-i-0", "m-i-1"], 6, Duration::from_secs(2));
    sim.engine.set_waves(vec![wave]);
    sim.run(100);
    let due = sim.engine.maintenance_due();
    assert_eq!(due, [(1, Arc::from("m-i-1"))]);
    // Without news of its worker, the move counts as over after 6 s.
    sim.run(6_000);
    sim.engine.plan_moves(sim.now);
    sim.run(100);
    assert!(sim.engine.maintenance_due().contains(&(1, "m-i-0".into())));
}

/// Guards against moving a machine to another pool so late that its maintenance begins after the end
/// of the wave.
#[test]
fn moves_no_machine_whose_wave_is_about_to_end() {
    let moves_with_wave_within = |within: Duration| {
        let mut sim = Simulation::new(1, fleet_config());
        let spares = (0..4).map(|n| machine(&format!("x-{n}"), "spare"));
        sim.add(profile("i-0", "s"));
        sim.engine
            .set_machines(spares.chain([machine("m-i-0", "s")]).collect());
        sim.run(100);
        // The maximum of one keeps the other machines from being chosen at once.
        let wave = wave(&sim, &["x-0", "x-1", "x-2", "x-3"], 1, within);
        sim.engine.set_waves(vec![wave]);
        for number in 0..20 {
            sim.accept(&format!("j{number}"), record(vec![step(4)]));
        }
        sim.run(300);
        sim.engine.plan_moves(sim.now).len()
    };
    assert!(moves_with_wave_within(Duration::from_secs(60)) > 0);
    assert_eq!(moves_with_wave_within(Duration::from_secs(5)), 0);
}
