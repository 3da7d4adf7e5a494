use std::time::Duration;

use coriandernotch::batch::{Advice, State, Step, Workspace};
use coriandernotch::collections::Set;
use coriandernotch::jobs::Size;

use crate::simulation::{Simulation, config, lasting, limited, profile, record, step};

/// Guards against a step that starts before its dependencies are complete and works on missing
/// input.
#[test]
fn starts_a_step_after_its_dependencies() {
    let mut sim = Simulation::with_workers(2);
    let second = Step {
        after: vec![0],
        ..step(1)
    };
    sim.accept("j", record(vec![step(3), second]));
    sim.run(400);
    assert_eq!(sim.starts.len(), 3);
    sim.run(1_000);
    assert_eq!(sim.starts_of("j", 1, 0), 1);
    sim.run(200);
    assert_eq!(sim.ended["j"].0, State::Completed);
}

/// Guards against starts beyond the capacity of a worker, which are rejected and cost a call each.
#[test]
fn never_fills_a_worker_beyond_its_capacity() {
    let mut sim = Simulation::with_workers(1);
    sim.accept("j", record(vec![step(10)]));
    for _ in 0..200 {
        sim.run(10);
        assert!(sim.running() <= 4, "a worker has four processors");
    }
    assert_eq!(sim.ended["j"].0, State::Completed);
}

/// Guards against a workspace that exceeds its maximum and takes capacity that others paid for.
#[test]
fn keeps_a_workspace_within_its_maximum() {
    let mut sim = Simulation::new(1, limited(Size::new(3_000, 0, 0)));
    sim.add(profile("i-0", "s"));
    sim.run(50);
    sim.accept("j", record(vec![step(4)]));
    sim.run(100);
    assert_eq!(sim.running(), 3);
}

/// Guards against losing several tasks of a spread step with a single worker.
#[test]
fn spreads_tasks_over_workers() {
    let mut sim = Simulation::with_workers(2);
    sim.accept("j", lasting(3));
    sim.run(100);
    assert!(sim.workers.values().all(|w| w.running.len() == 1));
}

/// Guards against a gang that starts partially and holds capacity without working.
#[test]
fn starts_a_gang_whole_or_not_at_all() {
    let mut sim = Simulation::with_workers(1);
    let gang = Step {
        gang: true,
        ..step(5)
    };
    sim.accept("j", record(vec![gang]));
    sim.run(200);
    assert!(sim.starts.is_empty());
    sim.add(profile("i-9", "s"));
    sim.run(200);
    assert_eq!(sim.starts.len(), 5);
    let numbers: Set<u64> = sim.starts.iter().map(|(.., number)| *number).collect();
    assert_eq!(
        numbers.len(),
        1,
        "members of a gang share the number of their run"
    );
}

/// Guards against starting a task in a data centre that operators have taken out of service.
#[test]
fn starts_nothing_in_an_excluded_data_centre() {
    let mut sim = Simulation::with_workers(1);
    let excluded: Set<std::sync::Arc<str>> = [std::sync::Arc::from("a")].into_iter().collect();
    sim.engine.set_excluded_data_centres(excluded);
    sim.accept("j", record(vec![step(1)]));
    sim.run(200);
    assert!(sim.starts.is_empty());
    sim.engine.set_excluded_data_centres(Set::default());
    sim.run(50);
    assert_eq!(sim.starts.len(), 1);
}

/// Guards against starting tasks on a worker that is about to shut down.
#[test]
fn starts_nothing_on_a_draining_worker() {
    let mut sim = Simulation::with_workers(1);
    let mut draining = profile("i-0", "s");
    draining.draining = true;
    sim.add(draining);
    sim.accept("j", record(vec![step(1)]));
    sim.run(200);
    assert!(sim.starts.is_empty());
}

/// Guards against starting a task on a worker without the hardware that its label requires.
#[test]
fn places_tasks_only_on_workers_with_their_label() {
    let mut sim = Simulation::with_workers(2);
    let mut labelled = profile("i-7", "s");
    labelled.labels.push("gpu-b".into());
    sim.add(labelled);
    sim.run(50);
    let labelled_step = Step {
        label: Some("gpu-b".into()),
        ..step(3)
    };
    sim.accept("j", record(vec![labelled_step]));
    sim.run(100);
    assert!(sim.starts.iter().all(|(worker, ..)| &**worker == "i-7"));
    assert_eq!(sim.starts.len(), 3);
}

/// Guards against starting an occurrence before it is due.
#[test]
fn begins_occurrences_when_they_are_due() {
    let mut sim = Simulation::with_workers(2);
    let mut timed = record(vec![step(1)]);
    timed.spec.occurrences = 2;
    timed.spec.first_ms = sim.wall_ms() + 500;
    timed.spec.interval_ms = 1_000;
    sim.accept("j", timed);
    sim.run(480);
    assert!(sim.starts.is_empty());
    sim.run(100);
    assert_eq!(sim.starts.len(), 1);
    sim.run(2_000);
    assert_eq!(sim.starts.len(), 2);
    assert_eq!(sim.ended["j"].0, State::Completed);
}

/// Guards against starting a task without the ticket that its queue requires; the worker rejects
/// it.
#[test]
fn waits_for_a_ticket_where_the_queue_requires_it() {
    let mut config = config();
    config.routes[0].advice = Some(Advice::default());
    let mut sim = Simulation::new(1, config);
    sim.add(profile("i-0", "s"));
    sim.add(profile("i-1", "s"));
    sim.run(50);
    sim.accept("j", record(vec![step(1)]));
    sim.run(50);
    assert!(sim.starts.is_empty());
    let question = sim.engine.next_question(sim.now).unwrap();
    assert_eq!(question.workers.len(), 2);
    let good = [("i-1".into(), "ticket".into())];
    let until = sim.now + Duration::from_secs(1);
    sim.engine.record_tickets(&question, &good, until, sim.now);
    sim.run(50);
    assert_eq!(&*sim.starts[0].0, "i-1");
}

/// Guards against best-effort tasks that slow down a serving task on the same worker.
#[test]
fn slows_best_effort_tasks_when_a_serving_task_is_slow() {
    let mut sim = Simulation::with_workers(1);
    let serving = Step {
        latency_ms: 100,
        ..lasting(1).spec.steps[0].clone()
    };
    let filling = Step {
        filling: true,
        ..lasting(1).spec.steps[0].clone()
    };
    let mut job = lasting(1);
    job.spec.steps = vec![serving, filling];
    sim.accept("j", job);
    sim.run(100);
    assert_eq!(sim.running(), 2);
    let worker = sim.workers.values_mut().next().unwrap();
    worker.running.iter_mut().for_each(|run| run.load = 150);
    sim.run(20);
    assert!(sim.paces.iter().all(|percent| *percent < 100) && !sim.paces.is_empty());
}

/// Load test with more jobs at once than can meet their objective. Serving them in order of arrival
/// makes all of them late; jobs that can still meet their objective must go first.
#[test]
fn defers_jobs_that_cannot_meet_their_objective() {
    let mut sim = Simulation::with_workers(2);
    // Each job is 4 tasks of 0.5 s: the pool completes 4 jobs a second.
    for number in 0..16 {
        let mut job = record(vec![step(4)]);
        job.arrived_ms = sim.wall_ms();
        sim.accept(&format!("a{number}"), job);
    }
    sim.run(1_200);
    for number in 0..4 {
        let mut job = record(vec![step(4)]);
        job.arrived_ms = sim.wall_ms();
        sim.accept(&format!("b{number}"), job);
    }
    let burst_start_ms = sim.wall_ms();
    sim.run(6_000);
    assert_eq!(sim.ended.len(), 20, "late jobs complete eventually");
    let objective_ms = 500 * 16 / 10 + 600;
    let late = |id: &String| sim.ended[&**id].1 > burst_start_ms + objective_ms;
    let late: Vec<String> = (0..4).map(|n| format!("b{n}")).filter(late).collect();
    assert!(late.is_empty(), "{late:?}");
}

/// Load test with a full pool. Copies of slow runs took a tenth of it from waiting jobs.
#[test]
fn copies_slow_runs_only_with_free_capacity() {
    for (others, copies) in [(0, 1), (16, 0)] {
        let mut sim = Simulation::with_workers(2);
        sim.run_ms = 1_300;
        let step = coriandernotch::batch::Step {
            speculative: true,
            ..step(1)
        };
        sim.accept("j", record(vec![step]));
        for number in 0..others {
            sim.accept(
                &format!("o{number}"),
                record(vec![crate::simulation::step(1)]),
            );
        }
        sim.run(1_250);
        assert_eq!(sim.starts_of("j", 0, 0), 1 + copies, "{others} others");
    }
}

/// Load test with steps that take three times their declared time. All their tasks were copied,
/// which took capacity from other jobs.
#[test]
fn copies_no_step_that_is_slow_as_a_whole() {
    let mut sim = Simulation::with_workers(3);
    sim.run_ms = 1_600;
    let slow = Step {
        speculative: true,
        ..step(4)
    };
    sim.accept("j", record(vec![slow]));
    sim.run(1_550);
    assert_eq!(sim.starts.len(), 4);
}

/// Guards against spreading lasting tasks over all machines of a pool, after which none of them can
/// move to another pool.
#[test]
fn packs_lasting_tasks_on_few_workers() {
    let mut sim = Simulation::with_workers(6);
    for job in ["j", "k"] {
        let mut record = lasting(4);
        record.spec.steps[0].max_per_worker = 0;
        record.spec.steps[0].size = Size::new(200, 10, 0);
        sim.accept(job, record);
    }
    sim.run(100);
    let mut used: Vec<usize> = sim.workers.values().map(|w| w.running.len()).collect();
    used.sort_unstable();
    assert_eq!(used, [0, 0, 0, 0, 4, 4]);
}

/// Load test with twice the capacity of the pool for 4 s and jobs of several sizes. In the order of
/// their deadlines alone, nearly all jobs were slightly late and the work done for them was
/// worthless.
#[test]
fn completes_some_jobs_in_time_under_overload() {
    let mut sim = Simulation::with_workers(3);
    let mut jobs = 0u64;
    for tick in 0..1_200u64 {
        // 12 jobs a second of 2 to 6 tasks of 0.5 s ask for 24 processors; the pool has 12.
        if tick < 400 && tick % 8 == 0 {
            let mut job = record(vec![step(2 + u32::try_from(jobs % 3).unwrap() * 2)]);
            job.arrived_ms = sim.wall_ms();
            sim.accept(&format!("j{jobs}"), job);
            jobs += 1;
        }
        sim.run(10);
    }
    let met = sim.ended.iter().filter(|(id, (_, at))| {
        let number: u64 = id[1..].parse().unwrap();
        let objective_ms = 500 * 16 / 10 + 600;
        at - (crate::simulation::START_MS + 50 + number * 80) <= objective_ms
    });
    let (met, all) = (met.count(), sim.ended.len());
    assert_eq!(all as u64, jobs);
    assert!(
        met * 100 >= all * 60,
        "{met} of {all} jobs met their objective"
    );
}

/// Simulates a workspace that floods a queue beside one that keeps to its weight. Returns the
/// fraction of the jobs of each that met the objective.
fn simulate_flood(weights: [u64; 2]) -> [f64; 2] {
    let mut settings = config();
    for (name, weight) in ["flood", "calm"].into_iter().zip(weights) {
        let workspace = Workspace {
            name: name.into(),
            weight,
            ..Workspace::default()
        };
        settings.workspaces.insert(name.into(), workspace);
    }
    let mut sim = Simulation::new(1, settings);
    for number in 0..3 {
        sim.add(profile(&format!("i-{number}"), "s"));
    }
    sim.run(50);
    let mut arrived = Vec::new();
    for tick in 0..1_500u64 {
        // 30 and 5 jobs a second of 1 processor second each; the pool has 12 processors.
        for (workspace_index, (name, interval)) in
            [("flood", 4), ("calm", 20)].into_iter().enumerate()
        {
            if tick < 400 && tick % interval == 0 {
                let mut job = record(vec![step(2)]);
                job.workspace = name.into();
                job.arrived_ms = sim.wall_ms();
                let id = format!("{name}{tick}");
                arrived.push((workspace_index, id.clone(), job.arrived_ms));
                sim.accept(&id, job);
            }
        }
        sim.run(10);
    }
    [0, 1].map(|workspace_index| {
        let own = arrived
            .iter()
            .filter(|(index, ..)| *index == workspace_index);
        let objective_ms = 500 * 16 / 10 + 600;
        let met = own
            .clone()
            .filter(|(_, id, at)| sim.ended[&**id].1 - at <= objective_ms);
        met.count() as f64 / own.count() as f64
    })
}

/// Load test in which one workspace submits four times what the pool can do, and another one keeps
/// to its weight. Baseline: without weights, the flood took the capacity of both.
#[test]
fn isolates_workspaces_from_a_flood_of_one() {
    let [_, without] = simulate_flood([0, 0]);
    let [_, with] = simulate_flood([5, 6]);
    assert!(
        with > 0.9,
        "{with} of the jobs within the weight were in time"
    );
    assert!(without < with, "{without} without weights");
}

/// Guards against never using a worker again whose runs were given up while it did not answer: it
/// was idle from then on, and idle workers were not polled.
#[test]
fn uses_a_worker_that_answers_again() {
    let mut sim = Simulation::with_workers(1);
    sim.accept("j", lasting(1));
    sim.run(100);
    sim.workers.get_mut("i-0").unwrap().silent = true;
    sim.run(6_000);
    assert_eq!(sim.starts.len(), 1);
    let worker = sim.workers.get_mut("i-0").unwrap();
    worker.silent = false;
    worker.running.clear();
    sim.run(500);
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against a lasting task that does not run for over 9 s although there is room (rule LOST):
/// its worker was lost together with an idle one, which had answered within the last lease, so the
/// task was started there without a poll. A start without an answer holds the task for the longest
/// lease.
#[test]
fn restarts_a_lasting_task_soon_after_the_loss_of_two_workers() {
    let mut sim = Simulation::with_workers(0);
    for (id, processors) in [("i-0", 16_000), ("i-1", 8_000), ("i-2", 4_000)] {
        let mut worker = profile(id, "s");
        worker.capacity = Size::new(processors, 8_000, 0);
        sim.add(worker);
    }
    sim.run(50);
    sim.accept("j", lasting(1));
    sim.run(100);
    assert_eq!(&*sim.starts[0].0, "i-0");
    // The last poll of a worker with runs is up to a second old when the worker is lost.
    sim.workers.get_mut("i-0").unwrap().silent = true;
    sim.accept("short", record(vec![step(1)]));
    sim.run(700);
    assert_eq!(&*sim.starts[1].0, "i-1");
    sim.workers.get_mut("i-1").unwrap().silent = true;
    sim.run(9_000);
    assert_eq!(sim.workers["i-2"].running.len(), 1);
}
