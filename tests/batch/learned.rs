//! What learned run times change in the decisions of an engine.

use std::time::Duration;

use coriandernotch::batch::Step;
use coriandernotch::jobs::Size;

use crate::learning::{job, learning, task_of, teach};
use crate::pools::machine;
use crate::simulation::{Simulation, config, profile, record, route};

/// Processors of a whole worker.
const WHOLE_WORKER: Size = Size::new(4_000, 100, 0);

/// Returns a step of one task that takes a whole worker.
fn large_task_of(image: &str, estimate_ms: u64) -> Step {
    Step {
        size: WHOLE_WORKER,
        ..task_of(image, estimate_ms)
    }
}

/// Creates one worker that is busy for a short time, and lets `declared` jobs arrive meanwhile: image
/// and declared time. Returns the images in the order in which they start.
fn order_of(sim: &mut Simulation, declared: &[(&str, u64)]) -> Vec<String> {
    let busy = Step {
        image: None,
        ..large_task_of("", 400)
    };
    let record = job(sim, "busy", busy);
    sim.run_ms_of.insert("busy".into(), 400);
    sim.accept("busy", record);
    sim.run(100);
    for (image, estimate_ms) in declared {
        let record = job(sim, image, large_task_of(image, *estimate_ms));
        sim.accept(image, record);
        sim.run(10);
    }
    let begun = sim.starts.len();
    sim.run(20_000);
    let starts = sim.starts[begun..].iter();
    starts.map(|(_, task, _)| task.job.to_string()).collect()
}

/// Guards against an order by declared times: the job that in truth has less slack, which is that
/// with the shorter tasks, comes first.
#[test]
fn the_job_with_the_least_slack_by_learned_times_starts_first() {
    for is_on in [true, false] {
        let mut sim = learning(1, is_on);
        teach(&mut sim, "long", 1_000, 3_000);
        teach(&mut sim, "short", 1_000, 200);
        let order = order_of(&mut sim, &[("long", 1_000), ("short", 1_000)]);
        assert_eq!(order[0] == "short", is_on, "{order:?}");
    }
}

/// Guards against a job that counts as late from its arrival, because its objective is reckoned from
/// its declared time and its remaining time from the real one.
#[test]
fn the_objective_follows_the_learned_times() {
    for is_on in [true, false] {
        let mut sim = learning(1, is_on);
        teach(&mut sim, "under", 500, 3_000);
        teach(&mut sim, "over", 8_000, 4_000);
        let order = order_of(&mut sim, &[("over", 8_000), ("under", 500)]);
        assert_eq!(order[0], "under", "{order:?}");
    }
}

/// Guards against a selection that, in a burst beyond capacity, gives way for one job that in truth
/// is much larger than the others.
#[test]
fn the_largest_job_by_learned_times_gives_way() {
    let in_time = [false, true].map(|is_on| {
        let mut sim = learning(1, is_on);
        teach(&mut sim, "large", 500, 3_000);
        teach(&mut sim, "small", 1_000, 500);
        let mut arrivals = Vec::new();
        for number in 0..4 {
            let (image, declared_ms) = if number == 0 {
                ("large", 500)
            } else {
                ("small", 1_000)
            };
            let id = format!("j-{number}");
            let record = job(&sim, image, large_task_of(image, declared_ms));
            arrivals.push((id.clone(), record.arrived_ms, sim.run_ms_of[image]));
            sim.accept(&id, record);
        }
        sim.run(10_000);
        let met = arrivals.iter().filter(|(id, arrived_ms, real_ms)| {
            sim.ended[&**id].1 - arrived_ms <= real_ms * 16 / 10 + 600
        });
        met.count()
    });
    assert!(
        in_time[1] > in_time[0],
        "{in_time:?} without and with learning"
    );
}

/// Returns how long a run that makes no progress is kept, up to 40 s.
fn time_to_stall(sim: &mut Simulation, image: &str, declared_ms: u64) -> Duration {
    sim.run_ms_of.insert(image.into(), 60_000);
    let record = job(sim, image, task_of(image, declared_ms));
    sim.workers
        .values_mut()
        .for_each(|worker| worker.stalls = true);
    sim.accept("stalled", record);
    let begun = sim.now;
    while sim.starts_of("stalled", 0, 0) < 2 && sim.now.since(begun) < Duration::from_secs(40) {
        sim.run(10);
    }
    sim.now.since(begun)
}

/// Guards against a run that stands still for 1.5 times a declared time that is far too long.
#[test]
fn a_stalled_run_of_a_short_image_is_found_early() {
    let mut sim = learning(2, true);
    teach(&mut sim, "short", 20_000, 500);
    let time = time_to_stall(&mut sim, "short", 20_000);
    assert!(time < Duration::from_secs(3), "{time:?}");
}

/// Guards against a task that in truth takes much longer than others of its image and is stopped
/// again and again: after the first time its declared time counts.
#[test]
fn a_task_is_stopped_once_by_the_learned_time() {
    let mut sim = learning(2, true);
    teach(&mut sim, "short", 20_000, 500);
    time_to_stall(&mut sim, "short", 20_000);
    sim.run(25_000);
    assert_eq!(sim.starts_of("stalled", 0, 0), 2);
    sim.run(10_000);
    assert_eq!(sim.starts_of("stalled", 0, 0), 3);
}

/// Guards against a stalled run that is found later than without learning, because its image is
/// unknown, or known to take longer than declared.
#[test]
fn a_stalled_run_is_never_found_later_than_without_learning() {
    for declared_ms in [500, 2_000, 6_000] {
        let [off, on] = [false, true].map(|is_on| {
            let mut sim = learning(2, is_on);
            teach(&mut sim, "known", 500, 1_900);
            let unknown = time_to_stall(&mut sim, "unknown", declared_ms);
            let mut sim = learning(2, is_on);
            teach(&mut sim, "known", 500, 1_900);
            (unknown, time_to_stall(&mut sim, "known", declared_ms))
        });
        assert_eq!(on.0, off.0, "an unknown image");
        assert!(on.1 <= off.1, "{on:?}, {off:?}");
    }
}

/// Starts a speculative run that takes `real_ms` in a step of one task, and returns the number of
/// its starts after `after_ms`.
fn starts_of_copied(sim: &mut Simulation, image: &str, declared_ms: u64, after_ms: u64) -> usize {
    let step = Step {
        speculative: true,
        ..task_of(image, declared_ms)
    };
    let record = job(sim, image, step);
    sim.accept("slow", record);
    sim.run(after_ms);
    sim.starts_of("slow", 0, 0)
}

/// Guards against copies of ordinary runs whose declared time is too short: they take capacity and
/// never win.
#[test]
fn an_ordinary_run_is_not_copied() {
    for is_on in [true, false] {
        let mut sim = learning(3, is_on);
        teach(&mut sim, "under", 500, 3_000);
        let starts = starts_of_copied(&mut sim, "under", 500, 4_000);
        assert_eq!(starts, if is_on { 1 } else { 2 });
    }
}

/// Guards against a slow run that is copied only after twice a declared time that is far too long.
#[test]
fn a_slow_run_of_a_short_image_is_copied_early() {
    for is_on in [true, false] {
        let mut sim = learning(3, is_on);
        teach(&mut sim, "over", 5_000, 500);
        sim.run_ms_of.insert("over".into(), 10_000);
        let starts = starts_of_copied(&mut sim, "over", 5_000, 2_000);
        assert_eq!(starts, if is_on { 2 } else { 1 });
    }
}

/// Guards against a pool that gets no machine for work that was declared far too short, and against
/// a machine that is switched on for work that was declared far too long.
#[test]
fn machines_follow_the_learned_work() {
    for (declared_ms, real_ms, is_moved) in [(100, 3_000, true), (6_000, 100, false)] {
        let mut config = config();
        config.routes = vec![route("q", "s")];
        config.spare_services.insert("spare".into());
        let mut sim = Simulation::learning(1, config, true);
        sim.add(profile("i-0", "s"));
        sim.engine
            .set_machines(vec![machine("m-i-0", "s"), machine("x", "spare")]);
        sim.run(50);
        teach(&mut sim, "image", declared_ms, real_ms);
        sim.run(5_000);
        sim.engine.cancel_moves();
        for number in 0..6 {
            let record = job(&sim, "image", task_of("image", declared_ms));
            sim.accept(&format!("burst-{number}"), record);
        }
        let mut moves = 0;
        for _ in 0..10 {
            sim.run(50);
            moves += sim.engine.plan_moves(sim.now).len();
        }
        assert_eq!(
            moves > 0,
            is_moved,
            "{declared_ms} ms declared, {real_ms} ms real"
        );
    }
}

/// Guards against a step without an image, or a lasting one, that follows what others have learned.
#[test]
fn a_step_without_an_image_keeps_its_declared_time() {
    let order = [true, false].map(|is_on| {
        let mut sim = learning(1, is_on);
        teach(&mut sim, "long", 1_000, 3_000);
        let without_image = |estimate_ms| Step {
            image: None,
            ..large_task_of("", estimate_ms)
        };
        let mut busy = record(vec![without_image(400)]);
        busy.arrived_ms = sim.wall_ms();
        sim.accept("busy", busy);
        sim.run(100);
        let begun = sim.starts.len();
        for (id, estimate_ms) in [("a", 1_200), ("b", 900), ("c", 700)] {
            let record = job(&sim, id, without_image(estimate_ms));
            sim.accept(id, record);
        }
        sim.run(5_000);
        let starts = sim.starts[begun..].iter();
        starts
            .map(|(_, task, _)| task.job.to_string())
            .collect::<Vec<_>>()
    });
    assert_eq!(order[0], order[1]);
}
