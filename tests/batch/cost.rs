use std::sync::Arc;
use std::time::{Duration, Instant};

use coriandernotch::batch::Step;
use coriandernotch::jobs::Size;

use crate::locality::in_rack;
use crate::simulation::{Simulation, config, profile, record, step};

/// Number of measurements of which the shortest counts, so that other programs on the machine do
/// not matter.
const MEASUREMENTS: usize = 50;

/// Creates a leader with workers none of which has room for the tasks that wait.
fn crowded_leader(workers: usize, tasks: usize) -> Simulation {
    let mut sim = Simulation::with_workers(workers);
    let too_large = Step {
        size: Size::new(5_000, 100, 0),
        ..step(1)
    };
    for number in 0..tasks {
        sim.accept(&format!("j-{number}"), record(vec![too_large.clone()]));
    }
    sim
}

/// Returns the shortest times that two actions take in turns.
fn shortest_times(mut first: impl FnMut(), mut second: impl FnMut()) -> (Duration, Duration) {
    let time = |action: &mut dyn FnMut()| {
        let start = Instant::now();
        action();
        start.elapsed()
    };
    let mut shortest = (Duration::MAX, Duration::MAX);
    for _ in 0..MEASUREMENTS {
        shortest.0 = shortest.0.min(time(&mut first));
        shortest.1 = shortest.1.min(time(&mut second));
    }
    println!("{:?} and {:?}", shortest.0, shortest.1);
    shortest
}

fn place(sim: &mut Simulation) {
    let wall_ms = sim.wall_ms();
    sim.engine.place(sim.now, wall_ms);
}

/// Guards against a slow lookup of every worker among the members, which took so much of the
/// processor of a leader with 350 workers that jobs started late in a burst.
#[test]
fn placement_takes_no_longer_with_members() {
    let mut without_members = crowded_leader(400, 1);
    let mut with_members = crowded_leader(400, 1);
    while !with_members.renew().added.is_empty() {}
    let (with_members, without_members) =
        shortest_times(|| place(&mut with_members), || place(&mut without_members));
    assert!(with_members < without_members.mul_f64(1.5));
}

/// Guards against a look at the workers of all services for every waiting task, which takes up the
/// processor of the leader of a large fleet.
#[test]
fn placement_takes_no_longer_with_workers_of_other_services() {
    let mut one_service = crowded_leader(100, 20);
    let mut many_services = crowded_leader(100, 20);
    for number in 0..900 {
        many_services.add(profile(&format!("other-{number}"), "t"));
    }
    let (many_services, one_service) =
        shortest_times(|| place(&mut many_services), || place(&mut one_service));
    assert!(many_services < one_service * 2);
}

/// Guards against a look at every worker for each of many waiting tasks for which none has room. With
/// thousands of them, rounds left the polls no processor time, and a backlog never shrank (rule
/// LOST).
#[test]
fn placement_of_a_backlog_takes_no_longer_with_more_workers() {
    let mut few_workers = crowded_leader(20, 2_000);
    let mut many_workers = crowded_leader(400, 2_000);
    let (many_workers, few_workers) =
        shortest_times(|| place(&mut many_workers), || place(&mut few_workers));
    assert!(many_workers < few_workers * 2);
}

/// Guards against a look at every worker for each task that waits for room near its data, and against
/// rounds that take longer with a factor for far runs although nothing has a near place.
#[test]
fn placement_of_tasks_that_wait_for_a_rack_takes_no_longer_with_more_workers() {
    let leader = |others: usize, near: bool| {
        let mut sim = Simulation::with_racks(1, config(), 300, true);
        sim.add(in_rack("near", "a"));
        let workers = (0..others).map(|number| in_rack(&format!("i-{number}"), "b"));
        workers.for_each(|worker| sim.add(worker));
        sim.run(50);
        let size = Size::new(4_000, 100, 0);
        let data_rack = near.then(|| "a".into());
        let large = |estimate_ms| Step {
            size,
            estimate_ms,
            ..step(1)
        };
        let mut first = record(vec![large(500)]);
        first.spec.steps[0].data_rack = Some("a".into());
        sim.accept("first", first);
        sim.run(20);
        for number in 0..500 {
            let mut waiting = record(vec![large(500)]);
            // All of them together fit into what the run on the near worker frees.
            waiting.spec.steps[0].data_rack.clone_from(&data_rack);
            waiting.spec.steps[0].size = Size::new(if near { 1 } else { 5_000 }, 100, 0);
            sim.accept(&format!("j-{number}"), waiting);
        }
        sim
    };
    let mut few = leader(20, true);
    let mut many = leader(400, true);
    for sim in [&mut few, &mut many] {
        place(sim);
        assert!(sim.engine.take_orders().is_empty(), "all tasks wait");
    }
    let (many, few) = shortest_times(|| place(&mut many), || place(&mut few));
    assert!(many < few * 2);
    let mut unknown = crowded_leader(100, 500);
    let mut known = leader(99, false);
    let (known, unknown) = shortest_times(|| place(&mut known), || place(&mut unknown));
    assert!(known < unknown * 2);
}

/// Guards against applying the configuration in force to all jobs again in every scheduling round.
#[test]
fn a_configuration_in_force_is_not_applied_again() {
    let mut unchanged = crowded_leader(1, 0);
    let mut changed = crowded_leader(1, 0);
    for sim in [&mut unchanged, &mut changed] {
        for number in 0..500 {
            sim.accept(&format!("k-{number}"), record(vec![step(1)]));
        }
    }
    let in_force = Arc::new(config());
    let mut latest = config();
    let (again, newer) = shortest_times(
        || unchanged.engine.set_config(&in_force),
        || {
            latest.version += 1;
            changed.engine.set_config(&Arc::new(latest.clone()));
        },
    );
    assert!(again < newer / 10);
}
