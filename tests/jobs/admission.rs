//! Submission, cancellation and late reports.

use coriandernotch::fleet::{DataCentreId, WorkspaceId};
use coriandernotch::jobs::{Outcome, Reason, Scheduler, Size, Spec, State, Tuning};

use super::fixture::{at_ms, complete_actions, new_scheduler, spec, start_all, submit_all};

/// Guards against jobs that wait forever because no worker can run them.
#[test]
fn jobs_that_can_never_run_are_refused_with_the_reason() {
    let mut scheduler = new_scheduler(1, 1, 10, Tuning::default());
    scheduler.set_workspace(WorkspaceId(1), 1, 0);
    let mut accelerated = spec(0, 1_000);
    accelerated.declared.accelerators = 1;
    let cases = [
        (spec(0, 32_001), Reason::TooLarge),
        (accelerated, Reason::TooLarge),
        (spec(0, 0), Reason::Empty),
        (spec(1, 1_000), Reason::LimitZero),
        (spec(9, 1_000), Reason::UnknownWorkspace),
    ];
    for (spec, reason) in cases {
        assert_eq!(scheduler.submit(spec, at_ms(0)), Err(reason));
    }
    assert!(scheduler.submit(spec(0, 32_000), at_ms(0)).is_ok());
}

/// Guards against refusing a job as too large because the only workers that fit it are in a data
/// centre that is out of service for now.
#[test]
fn a_job_waits_until_a_data_centre_is_back_in_service() {
    let mut scheduler = new_scheduler(1, 1, 10, Tuning::default());
    (0..3).for_each(|dc| drop(scheduler.set_out_of_service(DataCentreId(dc), true, at_ms(0))));
    scheduler.submit(spec(0, 20_000), at_ms(0)).unwrap();
    assert_eq!(scheduler.next_start(at_ms(0)), None);
    scheduler.set_out_of_service(DataCentreId(2), false, at_ms(1));
    let start = scheduler.next_start(at_ms(1)).unwrap();
    let worker = scheduler.placement().worker(start.worker);
    assert_eq!(worker.data_centre, DataCentreId(2));
}

/// Guards against a cancellation that loses track of a job, or lets it start afterwards, in any
/// state of the job.
#[test]
fn cancellation_has_a_definite_outcome_in_each_state() {
    // (state at the time of the cancellation, result: whether the run has to be stopped or the
    // final state). Resources stay reserved until the worker reports exactly if the run has to be
    // stopped.
    let cases = [
        (State::Queued, Ok(false)),
        (State::Starting, Ok(true)),
        (State::Running, Ok(true)),
        (State::Succeeded, Err(State::Succeeded)),
    ];
    for (state, expected) in cases {
        let mut scheduler = new_scheduler(1, 1, 10, Tuning::default());
        let job = scheduler.submit(spec(0, 1_000), at_ms(0)).unwrap();
        if state != State::Queued {
            scheduler.next_start(at_ms(0)).unwrap();
        }
        if state == State::Running || state == State::Succeeded {
            assert!(scheduler.confirm_start(job, 1));
        }
        if state == State::Succeeded {
            scheduler.run_ended(job, 1, Outcome::Succeeded, at_ms(1));
        }
        let answer = scheduler.cancel(job);
        assert_eq!(answer.map(|stop| stop.is_some()), expected, "{state}");
        let held = scheduler.placement().reserved() != Size::ZERO;
        assert_eq!(held, expected == Ok(true), "{state}");
        assert_eq!(scheduler.next_start(at_ms(1)), None, "{state}");
        // A success reported after the cancellation does not undo it.
        scheduler.run_ended(job, 1, Outcome::Succeeded, at_ms(2));
        let end = if expected.is_ok() {
            State::Cancelled
        } else {
            State::Succeeded
        };
        assert_eq!(scheduler.job(job).unwrap().state, end);
        assert_eq!(scheduler.placement().reserved(), Size::ZERO, "{state}");
    }
}

/// Guards against a mass cancellation that blocks the queue or leaves resources reserved.
#[test]
fn mass_cancellation_releases_all_resources() {
    let tuning = Tuning {
        waiting_limit: 5_000,
        ..Tuning::default()
    };
    let mut scheduler = new_scheduler(1, 2, 1_000, tuning);
    let jobs = submit_all(&mut scheduler, 5_000, spec(0, 8_000), at_ms(0));
    start_all(&mut scheduler, at_ms(0));
    let stops: Vec<_> = jobs
        .iter()
        .filter_map(|j| scheduler.cancel(*j).unwrap())
        .collect();
    let last = scheduler.submit(spec(0, 32_000), at_ms(1)).unwrap();
    complete_actions(&mut scheduler, &stops, at_ms(1));
    assert_eq!(scheduler.placement().reserved(), Size::ZERO);
    assert_eq!(scheduler.next_start(at_ms(1)).map(|s| s.job), Some(last));
    assert_eq!(scheduler.fairness().running(WorkspaceId(0)), 1);
    jobs.iter().for_each(|j| scheduler.forget(*j));
    assert!(jobs.iter().all(|j| scheduler.job(*j).is_none()));
}

/// Guards against memory usage that grows without bound when callers submit jobs, or submit and
/// cancel them.
#[test]
fn a_workspace_cannot_use_unbounded_memory() {
    let tuning = Tuning {
        waiting_limit: 50,
        ..Tuning::default()
    };
    let mut scheduler = new_scheduler(1, 2, 10_000, tuning);
    submit_all(&mut scheduler, 50, spec(0, 32_000), at_ms(0));
    assert_eq!(
        scheduler.submit(spec(0, 1), at_ms(0)),
        Err(Reason::QueueFull)
    );
    submit_all(&mut scheduler, 1, spec(1, 1), at_ms(0));
    start_all(&mut scheduler, at_ms(0));
    let cycle = |scheduler: &mut Scheduler| {
        for urgent in [false, true] {
            let new_spec = spec(0, 32_000);
            let job = scheduler
                .submit(Spec { urgent, ..new_spec }, at_ms(1))
                .unwrap();
            scheduler.cancel(job).unwrap();
            scheduler.forget(job);
        }
    };
    (0..1_000).for_each(|_| cycle(&mut scheduler));
    let before = scheduler.footprint();
    (0..10_000).for_each(|_| cycle(&mut scheduler));
    assert_eq!(scheduler.footprint(), before);
}

/// Guards against acting on late reports of a run that was given up when the lease of its worker
/// expired.
#[test]
fn late_reports_of_a_lost_worker_are_ignored() {
    for late in [
        Outcome::Succeeded,
        Outcome::Failed,
        Outcome::Checkpointed,
        Outcome::Stopped,
    ] {
        let mut scheduler = new_scheduler(1, 1, 10, Tuning::default());
        let job = scheduler.submit(spec(0, 1_000), at_ms(0)).unwrap();
        let first = start_all(&mut scheduler, at_ms(0))[0];
        assert_eq!(scheduler.worker_lost(first.worker, at_ms(10)), [job]);
        let second = start_all(&mut scheduler, at_ms(20))[0];
        assert_ne!(second.worker, first.worker);
        assert!(
            !scheduler.run_ended(job, first.run, late, at_ms(30)),
            "{late:?}"
        );
        assert_eq!(scheduler.job(job).unwrap().state, State::Running);
        assert!(scheduler.run_ended(job, second.run, Outcome::Succeeded, at_ms(40)));
    }
}
