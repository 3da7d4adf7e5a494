//! What runs teach the engine about their image.

use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::estimate::Estimates;
use coriandernotch::batch::{End, Record, Step};
use coriandernotch::jobs::Size;

use crate::simulation::{Simulation, config, profile, record, step};

const IMAGE: &str = "resize";

/// Creates an engine that learns, with some workers of four processors.
pub(crate) fn learning(workers: usize, learn_estimates: bool) -> Simulation {
    let mut sim = Simulation::learning(1, config(), learn_estimates);
    for number in 0..workers {
        sim.add(profile(&format!("i-{number}"), "s"));
    }
    sim.run(50);
    sim
}

/// Returns a step of one task with an image.
pub(crate) fn task_of(image: &str, estimate_ms: u64) -> Step {
    Step {
        image: Some(image.into()),
        estimate_ms,
        ..step(1)
    }
}

/// Returns a job of one step that arrives now, whose tasks take the time configured for `work`.
pub(crate) fn job(sim: &Simulation, work: &str, step: Step) -> Record {
    let mut record = record(vec![step]);
    record.spec.payload = work.into();
    record.arrived_ms = sim.wall_ms();
    record
}

/// Teaches that the tasks of an image take `real_ms` although `declared_ms` are declared.
pub(crate) fn teach(sim: &mut Simulation, image: &str, declared_ms: u64, real_ms: u64) {
    sim.run_ms_of.insert(image.into(), real_ms);
    for number in 0..4 {
        let record = job(sim, image, task_of(image, declared_ms));
        sim.accept(&format!("{image}-{number}"), record);
        sim.run(real_ms + 100);
    }
}

/// Runs a step four times and returns what the engine has learned then.
fn learned_from(sim: &mut Simulation, step: &Step) -> Estimates {
    for number in 0..4 {
        let record = job(sim, "x", step.clone());
        sim.accept(&format!("j-{number}"), record);
        sim.run(700);
        assert!(sim.ended.contains_key(&*format!("j-{number}")));
    }
    sim.engine
        .take_outdated_estimates(sim.now)
        .unwrap_or_default()
}

/// Guards against learning that misses the ends of runs, or that is on without its setting.
#[test]
fn learns_the_time_of_whole_runs() {
    for is_on in [true, false] {
        let mut sim = learning(2, is_on);
        let estimates = learned_from(&mut sim, &task_of(IMAGE, 2_000));
        assert_eq!(estimates.images.len(), usize::from(is_on));
        for row in &estimates.images {
            assert_eq!((&*row.0, &*row.1, row.2), ("w", IMAGE, 4));
            let milliseconds = row.3.middle.exp2();
            assert!((480.0..550.0).contains(&milliseconds), "{milliseconds} ms");
        }
    }
}

/// Guards against runs that are not learned, or learned as too short, because a worker holds back its
/// answer to a poll until a run ends: the answers before and after the end lie far apart.
#[test]
fn learns_the_time_of_runs_between_held_polls() {
    for run_ms in [300, 700, 1_500, 2_400] {
        let mut sim = learning(1, true);
        sim.poll_wait = Duration::from_millis(1_000);
        sim.run_ms = run_ms;
        for number in 0..4 {
            let record = job(&sim, "x", task_of(IMAGE, 4_000));
            sim.accept(&format!("j-{number}"), record);
            sim.run(run_ms + 400);
            assert!(sim.ended.contains_key(&*format!("j-{number}")));
        }
        let estimates = sim.engine.take_outdated_estimates(sim.now);
        let row = &estimates.unwrap_or_default().images[0];
        let milliseconds = f64::from(row.3.middle.exp2());
        let factor = milliseconds / run_ms as f64;
        assert!(
            (0.95..1.05).contains(&factor),
            "{run_ms} ms: {milliseconds} ms"
        );
    }
}

/// Guards against a workspace that teaches wrong run times for the images of another one.
#[test]
fn an_image_of_another_workspace_is_unknown() {
    let mut sim = learning(1, true);
    for (number, workspace) in ["w", "w", "w", "v", "v", "v"].into_iter().enumerate() {
        sim.run_ms = if workspace == "w" { 300 } else { 900 };
        let mut record = job(&sim, "x", task_of(IMAGE, 600));
        record.workspace = workspace.into();
        sim.accept(&format!("j-{number}"), record);
        sim.run(1_200);
    }
    let estimates = sim.engine.take_outdated_estimates(sim.now).unwrap();
    let rows = estimates.images.iter();
    let learned = rows.map(|row| (&*row.0, &*row.1, (row.3.middle.exp2() / 300.0).round()));
    let learned: Vec<_> = learned.collect();
    assert_eq!(learned, [("v", IMAGE, 3.0), ("w", IMAGE, 1.0)]);
}

/// Guards against runs that say nothing about their image: those without one, best-effort ones, and
/// those in another rack than their data.
#[test]
fn learns_nothing_from_runs_that_differ() {
    let without_image = Step {
        image: None,
        ..task_of(IMAGE, 2_000)
    };
    let best_effort = Step {
        filling: true,
        ..task_of(IMAGE, 2_000)
    };
    let far = Step {
        data_rack: Some("elsewhere".into()),
        ..task_of(IMAGE, 2_000)
    };
    for step in [without_image, best_effort, far] {
        let estimates = learned_from(&mut learning(2, true), &step);
        assert_eq!(estimates, Estimates::default(), "{step:?}");
    }
    let near = Step {
        data_rack: Some("rack".into()),
        ..task_of(IMAGE, 2_000)
    };
    assert_eq!(learned_from(&mut learning(2, true), &near).images.len(), 1);
}

/// Guards against a gang that was divided over racks and teaches that its image is slow.
#[test]
fn learns_nothing_from_a_divided_gang() {
    let gang = Step {
        count: 2,
        gang: true,
        same_rack: true,
        size: Size::new(4_000, 100, 0),
        ..task_of(IMAGE, 2_000)
    };
    for is_divided in [true, false] {
        let mut sim = learning(1, true);
        let mut other = profile("i-9", "s");
        if is_divided {
            other.labels.push("other-rack".into());
        }
        sim.add(other);
        sim.run(50);
        let estimates = learned_from(&mut sim, &gang);
        assert_eq!(estimates.images.is_empty(), is_divided);
    }
}

/// Guards against failed runs and runs resumed from a checkpoint, which are short.
#[test]
fn learns_nothing_from_failed_and_resumed_runs() {
    let mut sim = learning(1, true);
    let record = job(&sim, "x", task_of(IMAGE, 2_000));
    sim.accept("j", record);
    sim.run(200);
    let worker = sim.workers.get_mut("i-0").unwrap();
    let run = worker.running.pop().unwrap();
    worker.end(run, End::Failed);
    worker.ended.last_mut().unwrap().saved = Arc::from("half");
    sim.run(700);
    assert_eq!(sim.starts_of("j", 0, 0), 2);
    assert!(sim.ended.contains_key("j"));
    assert_eq!(sim.engine.take_outdated_estimates(sim.now), None);
}

/// Guards against runs that an earlier leader started, whose start is not known.
#[test]
fn learns_nothing_from_adopted_runs() {
    let mut first = learning(1, true);
    let record = job(&first, "x", task_of(IMAGE, 2_000));
    first.accept("j", record.clone());
    first.run(300);
    let mut second = Simulation::learning(2, config(), true);
    second.now = first.now;
    second.workers = first.workers;
    second.add(profile("i-0", "s"));
    second.accept("j", record);
    second.run(400);
    assert!(second.ended.contains_key("j"));
    assert!(second.starts.is_empty());
    assert_eq!(second.engine.take_outdated_estimates(second.now), None);
}

/// Guards against a run whose end is read long after it, because its worker did not answer.
#[test]
fn learns_nothing_from_an_end_that_is_read_late() {
    let mut sim = learning(1, true);
    let record = job(&sim, "x", task_of(IMAGE, 2_000));
    sim.accept("j", record);
    sim.run(300);
    sim.workers.get_mut("i-0").unwrap().silent = true;
    sim.run(3_000);
    sim.workers.get_mut("i-0").unwrap().silent = false;
    sim.run(200);
    assert!(sim.ended.contains_key("j"));
    assert_eq!(sim.engine.take_outdated_estimates(sim.now), None);
}

/// Guards against a successor that starts from declared times.
#[test]
fn a_successor_starts_from_what_was_learned() {
    let mut first = learning(1, true);
    teach(&mut first, IMAGE, 2_000, 500);
    let estimates = first.engine.take_outdated_estimates(first.now).unwrap();
    let mut second = learning(1, true);
    second.engine.restore_estimates(&estimates);
    assert_eq!(second.engine.estimate_error().0, 1);
    assert_eq!(second.engine.take_outdated_estimates(second.now), None);
    let mut without_learning = learning(1, false);
    without_learning.engine.restore_estimates(&estimates);
    assert_eq!(without_learning.engine.estimate_error().0, 0);
}
