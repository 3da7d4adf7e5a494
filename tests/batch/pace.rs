use coriandernotch::batch::{Record, Step};

use crate::simulation::{Simulation, lasting, record, step};

/// Latency of a serving task that is far above its bound, in milliseconds.
const HIGH_LATENCY_MS: u64 = 500;

/// Latency of a serving task that is far below its bound, in milliseconds.
const LOW_LATENCY_MS: u64 = 10;

fn serving() -> Record {
    let mut job = lasting(1);
    job.spec.steps[0].latency_ms = 100;
    job
}

fn best_effort() -> Record {
    record(vec![Step {
        filling: true,
        size: coriandernotch::jobs::Size::new(500, 100, 0),
        ..step(1)
    }])
}

fn set_latency(sim: &mut Simulation, latency_ms: u64) {
    let worker = sim.workers.get_mut("i-0").unwrap();
    worker
        .running
        .iter_mut()
        .for_each(|run| run.load = latency_ms);
}

/// Guards against taking best-effort tasks that this leader slowed down to a halt for stalled. Each
/// counted as a failure of its worker, which was then excluded.
#[test]
fn does_not_take_slowed_down_tasks_for_stalled() {
    let mut sim = Simulation::with_workers(1);
    sim.accept("serving", serving());
    sim.run(100);
    sim.workers.get_mut("i-0").unwrap().stalls = true;
    for job in ["a", "b", "c"] {
        sim.accept(job, best_effort());
    }
    sim.run(100);
    assert_eq!(sim.running(), 4);
    set_latency(&mut sim, HIGH_LATENCY_MS);
    sim.run(4_000);
    assert_eq!((sim.starts.len(), sim.running()), (4, 4));
    // At full speed again they get the whole time in which a task must make progress.
    set_latency(&mut sim, LOW_LATENCY_MS);
    sim.run(1_000);
    assert_eq!((sim.starts.len(), sim.running()), (4, 4));
}

/// Guards against leaving a best-effort task slow for good that the previous leader slowed down.
#[test]
fn restores_the_speed_of_tasks_of_the_previous_leader() {
    let mut old = Simulation::with_workers(1);
    let mut job = lasting(1);
    job.spec.steps[0].filling = true;
    job.spec.steps.push(serving().spec.steps[0].clone());
    old.accept("j", job.clone());
    old.run(100);
    set_latency(&mut old, HIGH_LATENCY_MS);
    old.run(50);
    assert!(old.paces.iter().any(|percent| *percent < 100));
    let mut sim = Simulation::new(2, crate::simulation::config());
    sim.now = old.now;
    sim.accept("j", job);
    sim.workers = old.workers.clone();
    sim.engine
        .update_worker(crate::simulation::profile("i-0", "s"));
    set_latency(&mut sim, LOW_LATENCY_MS);
    sim.run(500);
    assert_eq!(sim.starts.len(), 0);
    assert_eq!(sim.paces.last(), Some(&100));
}
