use std::time::{Duration, Instant};

use coriandernotch::batch::Step;
use coriandernotch::jobs::Size;

use crate::simulation::{Simulation, record, step};

/// Number of measurements of which the shortest counts, so that other programs on the machine do
/// not matter.
const MEASUREMENTS: usize = 50;

/// Creates a leader with `count` workers, none of which has room for the tasks that wait.
fn crowded_leader(count: usize) -> Simulation {
    let mut sim = Simulation::with_workers(count);
    let too_large = Step {
        size: Size::new(5_000, 100, 0),
        ..step(1)
    };
    for number in 0..20 {
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

/// Guards against a lookup of every worker among the members for every waiting task, which took so
/// much of the processor of a leader with 350 workers that jobs started late in a burst.
#[test]
fn placement_takes_no_longer_with_members() {
    let mut without_members = crowded_leader(400);
    let mut with_members = crowded_leader(400);
    while !with_members.renew().added.is_empty() {}
    let (with_members, without_members) =
        shortest_times(|| place(&mut with_members), || place(&mut without_members));
    assert!(with_members < without_members.mul_f64(1.5));
}
