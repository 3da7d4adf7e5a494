use std::collections::BTreeSet;

use coriandernotch::batch::{Progress, Ranges, Record, Spec, Step};
use coriandernotch::jobs::Size;
use quickcheck::quickcheck;

use crate::simulation::{START_MS, Simulation, config, profile, record, step};

/// Largest content of a row of the store, in bytes.
const MAX_ROW_BYTES: usize = 65_536;

/// Builds a job with more tasks than a row can list one by one.
fn large_job() -> Record {
    record(vec![Step {
        size: Size::new(20, 1, 0),
        ..step(8_000)
    }])
}

/// Builds a job with many occurrences that are due at once, of tasks that each need `processors`
/// thousandths of a processor.
fn recurring_job(occurrences: u32, processors: u64) -> Record {
    let mut job = record(vec![Step {
        size: Size::new(processors, 1, 0),
        ..step(10)
    }]);
    job.spec = Spec {
        occurrences,
        first_ms: START_MS,
        interval_ms: 1,
        ..job.spec
    };
    job
}

fn row_bytes(progress: &Progress) -> usize {
    serde_json::to_vec(progress).unwrap().len()
}

/// Hands a job to a new leader after some time. Returns its stored progress and the number of tasks
/// that were started in all.
fn hand_over(job: &Record, after_ms: u64) -> (Progress, usize) {
    let mut old = Simulation::with_workers(4);
    old.run_ms = 100;
    old.accept("j", job.clone());
    old.run(after_ms);
    let stored = old.stored["j"].clone();
    let mut sim = Simulation::new(2, config());
    (sim.now, sim.run_ms) = (old.now, old.run_ms);
    sim.workers = old.workers.clone();
    let wall = old.wall_ms();
    let progress = Some(stored.clone());
    sim.engine
        .load_job(&"j".into(), job.clone(), progress, wall, sim.now);
    for id in old.workers.keys() {
        sim.engine.update_worker(profile(id, "s"));
    }
    sim.engine.inherit(&[], false, sim.now);
    sim.run(10_000);
    assert!(sim.ended.contains_key("j"));
    (stored, old.starts.len() + sim.starts.len())
}

/// Guards against a job whose progress outgrows its row: nothing of its partition was stored any
/// more.
#[test]
fn progress_of_a_large_job_fits_into_a_row() {
    let (stored, starts) = hand_over(&large_job(), 700);
    assert!(stored.done_tasks().count() > 4_000);
    assert!(row_bytes(&stored) < MAX_ROW_BYTES / 2);
    assert_eq!(starts, 8_000);
}

/// Guards against the same fault for many complete occurrences of a job.
#[test]
fn progress_of_a_recurring_job_fits_into_a_row() {
    let (stored, starts) = hand_over(&recurring_job(1_000, 10), 800);
    assert!(stored.complete.len() > 500);
    assert!(row_bytes(&stored) < MAX_ROW_BYTES / 2);
    assert_eq!(starts, 10_000);
}

/// Guards against progress of a usual job that a leader of an older version cannot read in a rolling
/// restart: it would start the tasks again.
#[test]
fn lists_the_tasks_of_a_usual_job_one_by_one() {
    let (stored, starts) = hand_over(&recurring_job(200, 100), 350);
    assert!(stored.done.len() > 100);
    assert!(stored.done_ranges.is_empty() && stored.complete.is_empty());
    assert_eq!(starts, 2_000);
}

quickcheck! {
    fn ranges_equal_a_set(numbers: Vec<u8>) -> bool {
        let numbers = numbers.into_iter().map(u32::from);
        let ranges: Ranges = numbers.clone().collect();
        let set: BTreeSet<u32> = numbers.collect();
        let gaps = set.iter().filter(|number| !set.contains(&(**number + 1)));
        ranges.iter().eq(set.iter().copied())
            && ranges.range_count() == gaps.count()
            && ranges.len() == set.len() as u64
            && (0..256).all(|number| ranges.contains(number) == set.contains(&number))
    }
}
