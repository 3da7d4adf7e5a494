//! The outlook that an engine makes of its queues.

use coriandernotch::batch::admission::QueueForecast;
use coriandernotch::batch::{Config, Route, Step, Workspace};
use coriandernotch::jobs::Size;

use crate::simulation::{Simulation, config, lasting, limited, profile, record, route, step};

/// Work of a task in these tests: one processor for 500 ms.
const TASK: u64 = 500_000;

fn forecast(sim: &mut Simulation, queue: &str) -> Option<QueueForecast> {
    let (now, wall_ms) = (sim.now, sim.wall_ms());
    let outlook = sim.engine.outlook(1, wall_ms, now);
    outlook.forecast(queue).cloned()
}

/// Submits jobs of one task to `queue`.
fn submit(sim: &mut Simulation, queue: &str, jobs: usize) {
    for number in 0..jobs {
        let mut job = record(vec![step(1)]);
        job.route = queue.into();
        job.arrived_ms = sim.wall_ms();
        sim.accept(&format!("{queue}-{number}"), job);
    }
}

/// Two queues on one service: `urgent` with priority 0 and `later` with priority 1.
fn two_priorities() -> Config {
    let later = Route {
        priority: 1,
        ..route("later", "s")
    };
    Config {
        routes: vec![route("urgent", "s"), later],
        ..config()
    }
}

/// Guards against a forecast that misses waiting work, and against one without a backlog.
#[test]
fn counts_what_waits_and_runs() {
    let mut sim = Simulation::with_workers(1);
    assert_eq!(forecast(&mut sim, "q"), None);
    submit(&mut sim, "q", 100);
    sim.run(20);
    let forecast = forecast(&mut sim, "q").unwrap();
    assert_eq!(forecast.processors, 4_000);
    // 96 tasks wait and 4 are half done.
    assert_eq!(forecast.total, 98 * TASK);
    assert!(
        forecast.within_objective < forecast.total,
        "some are deferred"
    );
    assert_eq!(forecast.largest_kept, Some(TASK));
}

/// Guards against refusals of jobs of priority 0 that fit when lower priorities give way.
#[test]
fn counts_no_work_of_lower_priorities() {
    let mut sim = Simulation::new(1, two_priorities());
    sim.add(profile("i-0", "s"));
    sim.run(50);
    submit(&mut sim, "later", 100);
    sim.run(20);
    assert_eq!(forecast(&mut sim, "urgent"), None);
    assert!(forecast(&mut sim, "later").is_some());
    submit(&mut sim, "urgent", 100);
    sim.run(20);
    let urgent = forecast(&mut sim, "urgent").unwrap();
    let later = forecast(&mut sim, "later").unwrap();
    assert!(urgent.total <= 100 * TASK, "{urgent:?}");
    // 100 jobs of each priority have arrived in the last 0.8 s.
    assert_eq!(urgent.arriving, 100 * TASK / 800);
    assert_eq!(later.arriving, 200 * TASK / 800);
    assert!(later.total > 190 * TASK, "{later:?}");
}

/// Guards against refusals because of jobs that wait for something other than processors.
#[test]
fn makes_no_forecast_while_there_is_room() {
    let mut sim = Simulation::with_workers(1);
    for number in 0..100 {
        let mut job = record(vec![Step {
            size: Size::new(1_000, 8_000, 0),
            ..step(1)
        }]);
        job.arrived_ms = sim.wall_ms();
        sim.accept(&format!("{number}"), job);
    }
    sim.run(20);
    assert_eq!(sim.running(), 1, "the memory of the worker is in use");
    assert_eq!(forecast(&mut sim, "q"), None);
}

/// Guards against the work of a workspace at its maximum, which takes no processors from others.
#[test]
fn counts_no_jobs_that_wait_for_a_quota() {
    let mut config = limited(Size::new(1_000, 0, 0));
    config
        .workspaces
        .insert("other".into(), Workspace::default());
    let mut sim = Simulation::new(1, config);
    sim.add(profile("i-0", "s"));
    sim.run(50);
    submit(&mut sim, "q", 100);
    sim.run(20);
    for number in 0..3 {
        let mut job = record(vec![step(1)]);
        job.workspace = "other".into();
        job.arrived_ms = sim.wall_ms();
        sim.accept(&format!("other-{number}"), job);
    }
    sim.run(20);
    assert_eq!(sim.running(), 4, "the service is full");
    assert_eq!(forecast(&mut sim, "q"), None);
}

/// Guards against lasting tasks that count as work, and against processors that they hold.
#[test]
fn lasting_tasks_take_processors_and_are_no_work() {
    let mut sim = Simulation::with_workers(2);
    let mut service = lasting(2);
    service.arrived_ms = sim.wall_ms();
    sim.accept("service", service);
    sim.run(50);
    submit(&mut sim, "q", 100);
    sim.run(20);
    let forecast = forecast(&mut sim, "q").unwrap();
    assert_eq!(forecast.processors, 6_000);
    assert_eq!(forecast.total, 97 * TASK);
}

/// Guards against jobs that are of no use any more and keep others out.
#[test]
fn counts_no_waiting_job_that_is_of_no_use() {
    let mut sim = Simulation::with_workers(1);
    for number in 0..100 {
        let mut job = record(vec![step(1)]);
        // Three times the objective of 1.4 s have passed.
        job.arrived_ms = sim.wall_ms() - 4_300;
        sim.accept(&format!("old-{number}"), job);
    }
    sim.run(20);
    assert_eq!(sim.running(), 4);
    assert_eq!(forecast(&mut sim, "q"), None);
}

/// Returns which of two late jobs starts first: one that can still be of use, or one that cannot.
fn first_of_late_jobs(mut sim: Simulation, step: &Step) -> &'static str {
    sim.add(profile("i-0", "s"));
    sim.run(50);
    for (id, age_ms) in [("useless", 4_300), ("late", 2_000)] {
        let mut job = record(vec![step.clone()]);
        job.arrived_ms = sim.wall_ms() - age_ms;
        sim.accept(id, job);
    }
    sim.run(20);
    let starts = ["late", "useless"].map(|id| sim.starts_of(id, 0, 0));
    assert_eq!(starts.iter().sum::<usize>(), 1, "there is room for one");
    if starts[0] == 1 { "late" } else { "useless" }
}

/// Guards against late jobs that miss their last chance because others, which have none left, are
/// overdue for longer; and against another order while the setting is off.
#[test]
fn late_jobs_go_before_those_that_are_of_no_use() {
    let on = Simulation::refusing(1, config());
    assert_eq!(first_of_late_jobs(on, &step(4)), "late");
    let off = Simulation::new(1, config());
    assert_eq!(first_of_late_jobs(off, &step(4)), "useless");
}

/// Guards against tasks shorter than declared: the queue bears more than its processors suggest.
#[test]
fn counts_the_work_that_is_completed() {
    let mut sim = Simulation::with_workers(1);
    sim.run_ms = 100;
    submit(&mut sim, "q", 400);
    sim.run(2_200);
    let forecast = forecast(&mut sim, "q").unwrap();
    assert!(forecast.processors > 8_000, "{forecast:?}");
}

/// Guards against refusals by workspaces that stay within their weight, or none of those beyond it.
#[test]
fn names_the_workspaces_that_have_used_up_their_weight() {
    let mut sim = Simulation::new(1, limited(Size::ZERO));
    sim.add(profile("i-0", "s"));
    sim.run(50);
    submit(&mut sim, "q", 100);
    sim.run(20);
    let wall_ms = sim.wall_ms();
    let now = sim.now;
    let outlook = sim.engine.outlook(1, wall_ms, now);
    let forecast = outlook.forecast("q").unwrap();
    assert!(outlook.is_over_rate("w", wall_ms / 1_000));
    assert!(!outlook.is_over_rate("w", wall_ms / 1_000 + 1));
    // One job a second is within the weight.
    assert!(forecast.over_rate >= 90 * TASK, "{forecast:?}");
    assert!(forecast.total <= 4 * TASK, "{forecast:?}");
    assert!(forecast.arriving <= 2 * TASK / 800, "{forecast:?}");
}
