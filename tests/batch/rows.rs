//! Sizes of stored rows for the largest fleet and the largest jobs.

use std::collections::BTreeSet;

use coriandernotch::batch::{
    End, Ended, Fence, Profile, Progress, Record, Snapshot, Step, TaskId, Terms,
};
use coriandernotch::jobs::Size;
use serde::Serialize;

use crate::simulation::{Simulation, config, profile, record, step};

/// Largest content of a row of the store, in bytes.
const MAX_ROW_BYTES: usize = 65_536;

/// Largest content of the rows of a transaction, in bytes: in Base64 they take a third more.
const MAX_TRANSACTION_BYTES: usize = 740_000;

/// Largest number of tasks of a job.
const TASKS: u32 = 100_000;

/// Number of steps over which they are spread.
const STEPS: u32 = 4;

fn row_bytes(row: &impl Serialize) -> usize {
    serde_json::to_vec(row).unwrap().len()
}

/// Builds a job with as many tasks as one may have, and with the largest number of failures of a task
/// that is configured anywhere.
fn largest_job(max_attempts: u32) -> Record {
    let steps = (0..STEPS).map(|_| Step {
        size: Size::new(10, 1, 0),
        ..step(TASKS / STEPS)
    });
    Record {
        route: "removed".into(),
        terms: Terms {
            max_attempts,
            ..Terms::default()
        },
        ..record(steps.collect())
    }
}

/// Spreads the numbers of tasks, so that neighbours differ.
fn mixed(number: u32) -> u32 {
    let mixed = number.wrapping_mul(2_654_435_769);
    (mixed ^ (mixed >> 15)).wrapping_mul(2_246_822_519) >> 16
}

fn task(number: u32) -> (u32, u32, u32) {
    (0, number / (TASKS / STEPS), number % (TASKS / STEPS))
}

/// Loads a job with its progress into a new engine, which then reads the failure of one task, and
/// returns the progress that it stores.
fn store_after_failure(job: &Record, progress: &Progress, number: u32, run: u64) -> Progress {
    store_after_end(job, progress, task(number), run)
}

/// Does the same for the task with an occurrence, a step and an index.
fn store_after_end(
    job: &Record,
    progress: &Progress,
    (occurrence, step, index): (u32, u32, u32),
    run: u64,
) -> Progress {
    let mut sim = Simulation::new(2, config());
    let wall = sim.wall_ms();
    sim.engine.load_job(
        &"j".into(),
        job.clone(),
        Some(progress.clone()),
        wall,
        sim.now,
    );
    sim.engine.update_worker(profile("i", "s"));
    let key = sim.engine.worker_addresses()[0].0;
    let end = Ended {
        position: 1,
        task: TaskId {
            job: "j".into(),
            occurrence,
            step,
            index,
        },
        number: run,
        how: End::Failed,
        saved: "".into(),
    };
    let snapshot = Snapshot {
        clock_ms: 1_000,
        born_ms: 1,
        running: Vec::new(),
        ended: vec![end],
        has_more_ends: false,
    };
    sim.engine
        .process_poll(key, &snapshot, sim.now, wall, sim.now);
    sim.engine.take_unstored(1, |_| true).remove(0).3
}

/// Builds the progress of tasks that ended in a random order: of each four one has succeeded, and the
/// others have failed up to `max_failures` times.
fn scattered_progress(max_failures: u64) -> Progress {
    let mut progress = Progress::default();
    for number in 0..TASKS {
        let (occurrence, step, index) = task(number);
        let draw = u64::from(mixed(number));
        if draw.is_multiple_of(4) {
            progress.done.push((occurrence, step, index));
        } else if max_failures > 0 {
            let failures = draw / 4 % (max_failures + 1);
            if failures > 0 {
                let runs = (1..=failures).collect();
                progress.failed.push((occurrence, step, index, runs));
            }
        }
    }
    progress
}

/// Guards against progress that outgrows its row when tasks end in any order and fail: no progress of
/// any job was stored any more. Guards also against a form that forgets a success or a failure.
#[test]
fn progress_of_the_largest_job_fits_into_a_row() {
    for max_failures in [0, 1, 2, 4] {
        let job = largest_job(10);
        let progress = scattered_progress(max_failures);
        let [one, two] = [1, 2].map(|skip| {
            let tasks = (0..TASKS).filter(|n| mixed(*n) % 4 == 1);
            tasks.skip(skip).step_by(7).last().unwrap()
        });
        let first = store_after_failure(&job, &progress, one, 9);
        let bytes = row_bytes(&first);
        assert!(bytes <= MAX_ROW_BYTES, "{max_failures} failures: {bytes}");
        let text = serde_json::to_vec(&first).unwrap();
        let read: Progress = serde_json::from_slice(&text).unwrap();
        assert_eq!(read, first);
        let second = store_after_failure(&job, &read, two, 9);
        let other_order = store_after_failure(&job, &progress, two, 9);
        let other_order = store_after_failure(&job, &other_order, one, 9);
        assert_eq!(second, other_order);
        let expected: BTreeSet<_> = progress.done_tasks().collect();
        let stored: BTreeSet<_> = second.done_tasks().collect();
        assert_eq!(stored, expected);
    }
}

/// Guards against rows of members that do not fit into the transaction of a renewal. Their texts come
/// from registrations, which other writers store.
#[test]
fn changes_of_members_fit_into_a_transaction() {
    let mut sim = Simulation::new(2, config());
    let name = "m".repeat(30_000);
    for number in 0..2_300 {
        let id = format!("i-{number}");
        sim.add(Profile {
            machine: format!("{name}{number}").into(),
            ..profile(&id, "s")
        });
    }
    sim.run(200);
    let changes = sim.engine.take_member_changes();
    let bytes: usize = changes.added.iter().map(row_bytes).sum();
    assert!(bytes <= MAX_TRANSACTION_BYTES, "{bytes}");
    assert!(changes.added.len() + changes.removed.len() <= 90);
}

/// Guards against a fence row that grows.
#[test]
fn a_fence_fits_into_a_row() {
    let fence = Fence {
        token: u64::MAX,
        write: u64::MAX,
    };
    assert!(row_bytes(&fence) < 100);
}

/// Guards against a window that forgets which occurrences of a scheduled job are complete, or takes
/// the tasks of one for those of another.
#[test]
fn progress_of_many_occurrences_fits_into_a_row() {
    const OCCURRENCES: u32 = 10_000;
    const TASKS_EACH: u32 = 5;
    let mut job = largest_job(3);
    job.spec.steps = vec![step(2), step(TASKS_EACH - 2)];
    job.spec.occurrences = OCCURRENCES + 1;
    let is_complete = |number: &u32| number % 2 == 1 || *number < 40;
    let mut progress = Progress {
        complete: (0..OCCURRENCES).filter(is_complete).collect(),
        ..Progress::default()
    };
    for number in (0..OCCURRENCES).filter(|number| !is_complete(number)) {
        progress.done.push((number, mixed(number) % 2, 1));
    }
    let succeeded = |progress: &Progress| {
        let complete = progress.complete.iter();
        let complete = complete.flat_map(|number| {
            let tasks = [(0, 2), (1, TASKS_EACH - 2)].into_iter();
            tasks.flat_map(move |(step, count)| (0..count).map(move |index| (number, step, index)))
        });
        let tasks: BTreeSet<_> = progress.done_tasks().chain(complete).collect();
        tasks
    };
    let expected = succeeded(&progress);
    let first = store_after_end(&job, &progress, (44, 0, 0), 7);
    assert!(first.window.is_some() && row_bytes(&first) <= MAX_ROW_BYTES);
    assert_eq!(succeeded(&first), expected);
    let second = store_after_end(&job, &first, (9_998, 1, 2), 7);
    assert_eq!(succeeded(&second), expected);
    let failed: Vec<_> = second.failed_tasks().collect();
    assert_eq!(failed, [(44, 0, 0, vec![7]), (9_998, 1, 2, vec![7])]);
}
