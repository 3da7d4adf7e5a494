//! Workers and jobs that fail.

use coriandernotch::jobs::{JobId, Outcome, Reason, Standing, State, Tuning, WorkerId};

use super::fixture::{WORKER_SIZE, at_ms, new_scheduler, spec, start_all, submit_all};

/// Guards against a worker that fails every job at once, therefore looks idle and is given the
/// whole queue.
#[test]
fn a_worker_that_fails_every_job_is_quarantined() {
    let mut scheduler = new_scheduler(2, 1, 10_000, Tuning::default());
    let bad = WorkerId(5);
    let jobs = submit_all(&mut scheduler, 400, spec(0, 8_000), at_ms(0));
    let mut wasted = 0;
    let mut quarantined = false;
    for step in 0..600 {
        let now = at_ms(step * 500);
        for start in start_all(&mut scheduler, now) {
            let fails = start.worker == bad;
            wasted += u32::from(fails);
            let outcome = if fails {
                Outcome::Failed
            } else {
                Outcome::Succeeded
            };
            scheduler.run_ended(start.job, start.run, outcome, now);
        }
        quarantined |= scheduler.placement().worker(bad).standing == Standing::Quarantined;
    }
    let done = |j: &&JobId| scheduler.job(**j).unwrap().state == State::Succeeded;
    assert_eq!(jobs.iter().filter(done).count(), 400);
    assert!(quarantined);
    assert!(wasted <= 12, "{wasted} starts on the failing worker");
}

/// Guards against a faulty job that is retried forever or gets healthy workers quarantined.
#[test]
fn a_faulty_job_is_distinguished_from_faulty_workers() {
    let mut scheduler = new_scheduler(2, 2, 10_000, Tuning::default());
    let bad = scheduler.submit(spec(0, 1_000), at_ms(0)).unwrap();
    for step in 0..200 {
        let now = at_ms(step * 500);
        scheduler.submit(spec(1, 4_000), now).unwrap();
        for start in start_all(&mut scheduler, now) {
            let outcome = if start.job == bad {
                Outcome::Failed
            } else {
                Outcome::Succeeded
            };
            scheduler.run_ended(start.job, start.run, outcome, now);
        }
    }
    let job = scheduler.job(bad).unwrap();
    assert_eq!(
        (job.state, job.reason),
        (State::Failed, Reason::FailsEverywhere)
    );
    assert_eq!(job.run, 3);
    let mut workers = scheduler.placement().workers();
    assert!(workers.all(|(_, w)| w.standing == Standing::Good));
}

/// Guards against a faulty software release, all of whose jobs fail, that takes the workers out of
/// service.
#[test]
fn jobs_that_all_fail_take_at_most_a_tenth_of_the_workers_out_of_service() {
    let mut scheduler = new_scheduler(10, 1, 10_000, Tuning::default());
    let jobs = submit_all(&mut scheduler, 300, spec(0, 2_000), at_ms(0));
    let mut max_out_of_service = 0;
    for step in 0..400 {
        let now = at_ms(step * 500);
        for start in start_all(&mut scheduler, now) {
            scheduler.run_ended(start.job, start.run, Outcome::Failed, now);
        }
        let workers = scheduler.placement().workers();
        let out_of_service = workers
            .filter(|(_, w)| w.standing != Standing::Good)
            .count();
        max_out_of_service = max_out_of_service.max(out_of_service);
    }
    assert!(
        max_out_of_service <= 12,
        "{max_out_of_service} of 120 workers"
    );
    let failed = |j: &&JobId| scheduler.job(**j).unwrap().state == State::Failed;
    assert_eq!(jobs.iter().filter(failed).count(), 300);
}

/// Guards against jobs that disappear or are counted as failed when a whole rack is lost at once.
#[test]
fn jobs_of_a_lost_rack_are_queued_again_without_counting_as_failed() {
    let mut scheduler = new_scheduler(2, 1, 10_000, Tuning::default());
    submit_all(&mut scheduler, 48, spec(0, 8_000), at_ms(0));
    let starts = start_all(&mut scheduler, at_ms(0));
    let rack: Vec<_> = (0..4).map(WorkerId).collect();
    let lost: Vec<_> = rack
        .iter()
        .flat_map(|w| scheduler.worker_lost(*w, at_ms(1)))
        .collect();
    let expected = starts.iter().filter(|s| rack.contains(&s.worker)).count();
    assert!(expected > 0);
    assert_eq!(lost.len(), expected);
    let again = start_all(&mut scheduler, at_ms(2));
    assert!(again.iter().all(|s| !rack.contains(&s.worker)));
    assert_eq!(again.len(), expected);
    for id in lost {
        let job = scheduler.job(id).unwrap();
        assert_eq!(
            (job.failures, job.losses, job.state),
            (0, 1, State::Running)
        );
    }
    rack.iter().for_each(|w| scheduler.worker_rejoined(*w));
    let ready = |w: &WorkerId| scheduler.placement().worker(*w).offer() == WORKER_SIZE;
    assert!(rack.iter().all(ready));
}
