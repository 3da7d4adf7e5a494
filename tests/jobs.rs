//! Tests of job scheduling: handling of faults, and invariants over random events.

use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::fleet::{DataCentreId, WorkspaceId};
use coriandernotch::jobs::{
    Action, Fence, JobId, KindId, Lease, Outcome, Owner, Ownership, Policy, RackId, Reason,
    Scheduler, Size, Spec, Standing, Start, State, Tuning, Worker, WorkerId,
};
use quickcheck::{Gen, QuickCheck};

/// Seed of the random tests.
const SEED: u64 = 20_260_101;
const WORKER_SIZE: Size = Size::new(32_000, 131_072, 0);

/// Returns the instant `ms` milliseconds after the start of the clock.
fn at_ms(ms: u64) -> Instant {
    Instant::from_start(Duration::from_millis(ms))
}

/// Returns a scheduler with three data centres of `racks` racks each, four workers in each rack,
/// and `workspaces` workspaces of equal weight.
fn new_scheduler(racks: u32, workspaces: u32, limit: u32, tuning: Tuning) -> Scheduler {
    let mut scheduler = Scheduler::new(tuning);
    for rack in 0..3 * racks {
        for _ in 0..4 {
            scheduler.add_worker(Worker::new(
                RackId(rack),
                DataCentreId(rack % 3),
                WORKER_SIZE,
            ));
        }
    }
    (0..workspaces).for_each(|workspace| scheduler.set_workspace(WorkspaceId(workspace), 1, limit));
    scheduler
}

fn spec(workspace: u32, processors: u64) -> Spec {
    Spec {
        workspace: WorkspaceId(workspace),
        kind: KindId(workspace),
        declared: Size::new(processors, processors, 0),
        urgent: false,
        checkpoints: true,
    }
}

fn submit_all(scheduler: &mut Scheduler, count: usize, spec: Spec, now: Instant) -> Vec<JobId> {
    let submit = |_| scheduler.submit(spec, now).unwrap();
    (0..count).map(submit).collect()
}

fn start_all(scheduler: &mut Scheduler, now: Instant) -> Vec<Start> {
    let starts: Vec<_> = std::iter::from_fn(|| scheduler.next_start(now)).collect();
    for start in &starts {
        scheduler.confirm_start(start.job, start.run);
    }
    starts
}

/// Reports to the scheduler that each action was carried out.
fn complete_actions(scheduler: &mut Scheduler, actions: &[Action], now: Instant) {
    for action in actions {
        match *action {
            Action::Checkpoint { job, run, .. } => {
                scheduler.run_ended(job, run, Outcome::Checkpointed, now);
            }
            Action::Throttle {
                job,
                run,
                processors,
                ..
            } => scheduler.run_throttled(job, run, processors),
            Action::Stop { job, run, .. } => {
                scheduler.run_ended(job, run, Outcome::Stopped, now);
            }
        }
    }
}

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

/// Guards against a holder that still acts on a lease that its grantor has given to another.
#[test]
fn a_lease_ends_for_its_holder_first() {
    // (renewal sent, renewal granted, now, lease is valid for the holder, has expired for the
    // grantor)
    let cases = [
        (0, 900, 9_999, true, false),
        (0, 900, 10_000, false, false),
        (0, 900, 10_899, false, false),
        (0, 900, 10_900, false, true),
        (0, 0, 3_600_000, false, true),
    ];
    let term = Duration::from_secs(10);
    for (sent, granted, now, holds, lapsed) in cases {
        assert_eq!(Lease::new(at_ms(sent), term).is_valid(at_ms(now)), holds);
        let grantor = Lease::new(at_ms(granted), term);
        assert_eq!(grantor.has_lapsed(at_ms(now), Duration::ZERO), lapsed);
    }
}

/// Guards against two instances that start jobs of one queue at the same time.
#[test]
fn a_paused_holder_of_a_queue_loses_its_lease_before_another_can_acquire_it() {
    let term = Duration::from_secs(4);
    for grace in [0, 30_000] {
        let mut first = Ownership::new(1, term, Duration::from_millis(grace));
        let mut second = Ownership::new(2, term, Duration::from_millis(grace));
        first.observe(Owner::default(), at_ms(0));
        let row = first.acquire(at_ms(0)).unwrap();
        first.write_succeeded(row, at_ms(0));
        second.observe(row, at_ms(100));
        assert_eq!(second.acquire(at_ms(4_099 + grace)), None);
        // The first holder is paused. Its lease ends before the second can acquire the queue.
        assert_eq!(first.token(at_ms(3_999)), Some(1));
        assert_eq!(first.token(at_ms(4_000)), None);
        assert_eq!(first.renew(at_ms(4_000)), None);
        let next = second.acquire(at_ms(4_100 + grace)).unwrap();
        assert!(next.token > row.token);
        second.write_succeeded(next, at_ms(4_100 + grace));
        first.observe(next, at_ms(4_200 + grace));
        assert_eq!(first.acquire(at_ms(4_200 + grace)), None);
    }
}

/// Guards against a candidate that takes the queue despite a renewal, and against an unsafe
/// handover on resignation.
#[test]
fn a_renewed_queue_is_not_taken_over_and_a_resigned_one_is() {
    let mut first = Ownership::new(1, Duration::from_secs(4), Duration::ZERO);
    let mut second = Ownership::new(2, Duration::from_secs(4), Duration::ZERO);
    first.observe(Owner::default(), at_ms(0));
    first.write_succeeded(first.acquire(at_ms(0)).unwrap(), at_ms(0));
    let renewed = first.renew(at_ms(3_000)).unwrap();
    first.write_succeeded(renewed, at_ms(3_000));
    second.observe(renewed, at_ms(3_100));
    assert_eq!(second.acquire(at_ms(5_000)), None);
    assert_eq!(first.token(at_ms(6_999)), Some(1));
    let resigned = first.resign(at_ms(5_000)).unwrap();
    assert_eq!(first.token(at_ms(5_000)), None);
    second.observe(resigned, at_ms(5_100));
    assert_eq!(second.acquire(at_ms(5_100)).unwrap().token, 2);
}

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

/// Guards against placing all jobs of a workspace on one rack or in one data centre, which would
/// all be lost with it.
#[test]
fn jobs_of_a_workspace_spread_over_data_centres() {
    let mut scheduler = new_scheduler(2, 1, 10_000, Tuning::default());
    submit_all(&mut scheduler, 30, spec(0, 2_000), at_ms(0));
    let mut count = [0; 3];
    for start in start_all(&mut scheduler, at_ms(0)) {
        count[scheduler
            .placement()
            .worker(start.worker)
            .data_centre
            .index()] += 1;
    }
    assert_eq!(count, [10; 3]);
}

/// Guards against accelerators that no large job can use because small jobs occupy some on each
/// worker.
#[test]
fn small_jobs_leave_all_accelerators_free_on_some_workers() {
    let mut scheduler = Scheduler::new(Tuning {
        headroom_percent: 0,
        ..Tuning::default()
    });
    for rack in 0..2 {
        for _ in 0..4 {
            let size = Size::new(64_000, 131_072, 8);
            scheduler.add_worker(Worker::new(RackId(rack), DataCentreId(0), size));
        }
    }
    scheduler.set_workspace(WorkspaceId(0), 1, 1_000);
    let accelerated = |n| {
        let mut spec = spec(0, 4_000);
        spec.declared.accelerators = n;
        spec
    };
    submit_all(&mut scheduler, 24, accelerated(1), at_ms(0));
    start_all(&mut scheduler, at_ms(0));
    submit_all(&mut scheduler, 5, accelerated(8), at_ms(1));
    assert_eq!(start_all(&mut scheduler, at_ms(1)).len(), 5);
}

/// Guards against accelerators that stand idle because other jobs use the processors next to them,
/// or because small jobs are scattered over the workers.
#[test]
fn room_is_made_next_to_free_accelerators() {
    let tuning = Tuning {
        headroom_percent: 0,
        ..Tuning::default()
    };
    for filler_accelerators in [0, 1] {
        let mut scheduler = Scheduler::new(tuning);
        for _ in 0..2 {
            let size = Size::new(64_000, 131_072, 8);
            scheduler.add_worker(Worker::new(RackId(0), DataCentreId(0), size));
        }
        (0..2).for_each(|workspace| scheduler.set_workspace(WorkspaceId(workspace), 1, 1_000));
        let mut filler = spec(0, 16_000);
        filler.declared.accelerators = filler_accelerators;
        submit_all(&mut scheduler, 8, filler, at_ms(0));
        assert_eq!(start_all(&mut scheduler, at_ms(0)).len(), 8);
        let mut large = spec(1, 16_000);
        large.declared.accelerators = 8;
        let job = scheduler.submit(large, at_ms(1)).unwrap();
        assert_eq!(scheduler.next_start(at_ms(1)), None);
        let actions = scheduler.balance(at_ms(2));
        complete_actions(&mut scheduler, &actions, at_ms(3));
        let started: Vec<_> = start_all(&mut scheduler, at_ms(3));
        assert!(started.iter().any(|s| s.job == job), "{actions:?}");
    }
}

/// Guards against wrong declared sizes that leave workers idle or overloaded permanently.
#[test]
fn sizes_declared_wrong_by_a_factor_of_ten_are_learned() {
    for (declared, used) in [(10_000, 1_000), (1_000, 10_000)] {
        let mut scheduler = new_scheduler(1, 1, 10_000, Tuning::default());
        submit_all(&mut scheduler, 500, spec(0, declared), at_ms(0));
        let used = Size::new(used, used, 0);
        for step in 0..40 {
            let now = at_ms(step * 5_000);
            start_all(&mut scheduler, now);
            let runs: Vec<_> = running(&scheduler);
            let mut actions = Vec::new();
            for (job, run) in runs {
                actions.extend(scheduler.report_usage(job, run, used, Duration::from_secs(5), now));
            }
            complete_actions(&mut scheduler, &actions, now);
        }
        // 12 workers with 32 processors each; a reservation is 1.01 times the usage.
        let processors = running(&scheduler).len() as u64 * used.processors;
        assert!(
            (310_000..=380_198).contains(&processors),
            "{processors} thousandths of a processor in use"
        );
    }
}

/// Returns the running jobs out of the first 500 submitted, with the number of their run.
fn running(scheduler: &Scheduler) -> Vec<(JobId, u32)> {
    // The ids in a new arena are consecutive.
    (1..=500)
        .filter_map(|n| {
            let id = JobId::from_number(0x1_0000_0000 + n);
            let job = scheduler.job(id)?;
            (job.state == State::Running).then_some((id, job.run))
        })
        .collect()
}

/// Guards against a workspace that keeps using capacity beyond its fair share when another
/// workspace needs it.
#[test]
fn borrowed_capacity_is_reclaimed() {
    let mut scheduler = new_scheduler(2, 2, 10_000, Tuning::default());
    submit_all(&mut scheduler, 400, spec(0, 4_000), at_ms(0));
    let borrowed = start_all(&mut scheduler, at_ms(0)).len();
    submit_all(&mut scheduler, 400, spec(1, 4_000), at_ms(1));
    assert_eq!(start_all(&mut scheduler, at_ms(1)), []);
    let actions = scheduler.balance(at_ms(2));
    complete_actions(&mut scheduler, &actions, at_ms(3));
    let reclaimed = start_all(&mut scheduler, at_ms(3)).len();
    assert!(
        reclaimed.abs_diff(borrowed / 2) <= 1,
        "{reclaimed} of {borrowed} reclaimed"
    );
    assert_eq!(
        scheduler.balance(at_ms(4)),
        [],
        "nothing more is reclaimed once the shares are even"
    );
}

/// Guards against urgent jobs that wait for ordinary jobs to end, and against a checkpoint where
/// throttling suffices.
#[test]
fn room_is_made_for_urgent_jobs() {
    // (headroom in percent, memory of an ordinary job in MiB, whether it can be checkpointed, kind
    // of action that makes room; empty if the headroom suffices)
    let cases = [
        (15, 4_000, true, ""),
        (0, 4_000, true, "throttle"),
        (0, 4_000, false, "throttle"),
        // Throttling frees no memory.
        (0, 32_768, true, "checkpoint"),
        (0, 32_768, false, "nothing helps"),
    ];
    for (headroom_percent, memory, checkpoints, expected) in cases {
        let tuning = Tuning {
            headroom_percent,
            ..Tuning::default()
        };
        let mut scheduler = new_scheduler(1, 2, 10_000, tuning);
        let ordinary = Spec {
            checkpoints,
            declared: Size::new(4_000, memory, 0),
            ..spec(0, 1)
        };
        submit_all(&mut scheduler, 200, ordinary, at_ms(0));
        start_all(&mut scheduler, at_ms(0));
        let urgent = Spec {
            urgent: true,
            ..spec(1, 4_000)
        };
        let job = scheduler.submit(urgent, at_ms(1)).unwrap();
        if !expected.is_empty() {
            assert_eq!(scheduler.next_start(at_ms(1)), None);
            let actions = scheduler.balance(at_ms(1));
            let kinds = actions.iter().map(|a| match a {
                Action::Throttle { .. } => "throttle",
                Action::Checkpoint { .. } => "checkpoint",
                Action::Stop { .. } => "stop",
            });
            let kinds: Vec<_> = kinds.collect();
            assert_eq!(kinds.is_empty(), expected == "nothing helps");
            assert!(
                kinds.iter().all(|k| *k == expected),
                "{kinds:?} for {expected}"
            );
            assert_eq!(
                scheduler.balance(at_ms(2)),
                [],
                "room is requested only once"
            );
            complete_actions(&mut scheduler, &actions, at_ms(500));
        }
        let started = scheduler.next_start(at_ms(500)).map(|s| s.job);
        assert_eq!(
            started,
            (expected != "nothing helps").then_some(job),
            "{expected}"
        );
    }
}

/// Guards against counting the resources of a started urgent job as about to be released.
#[test]
fn a_started_urgent_job_is_not_marked_as_stopping() {
    let mut scheduler = new_scheduler(
        1,
        2,
        10_000,
        Tuning {
            headroom_percent: 0,
            ..Tuning::default()
        },
    );
    submit_all(&mut scheduler, 200, spec(0, 4_000), at_ms(0));
    start_all(&mut scheduler, at_ms(0));
    let urgent = Spec {
        urgent: true,
        ..spec(1, 4_000)
    };
    let job = scheduler.submit(urgent, at_ms(1)).unwrap();
    let actions = scheduler.balance(at_ms(1));
    complete_actions(&mut scheduler, &actions, at_ms(2));
    scheduler.next_start(at_ms(2)).unwrap();
    assert_eq!(scheduler.job(job).unwrap().stopping, None);
}

/// Guards against starts in a data centre that operators have taken out of service while its jobs
/// are being moved.
#[test]
fn a_data_centre_taken_out_of_service_is_emptied_and_stays_empty() {
    let mut scheduler = new_scheduler(2, 1, 10_000, Tuning::default());
    submit_all(&mut scheduler, 300, spec(0, 4_000), at_ms(0));
    let running = start_all(&mut scheduler, at_ms(0));
    let out = DataCentreId(1);
    let moves = scheduler.set_out_of_service(out, true, at_ms(1));
    assert!(!moves.is_empty() && moves.len() < running.len());
    complete_actions(&mut scheduler, &moves, at_ms(2));
    for start in start_all(&mut scheduler, at_ms(3)) {
        assert_ne!(scheduler.placement().worker(start.worker).data_centre, out);
    }
    scheduler.set_out_of_service(out, false, at_ms(4));
    assert!(!start_all(&mut scheduler, at_ms(5)).is_empty());
}

/// Guards against reservations above capacity, workspaces above their limit, starts on workers
/// that may not get jobs and runs that start twice, for any order of events.
#[test]
fn invariants_hold_over_random_events() {
    fn holds(events: Vec<(u8, u16)>) -> bool {
        let policies = [Policy::FirstFit, Policy::Fair, Policy::Learned];
        let chosen_policy = policies[events.len() % 3];
        let mut scheduler = new_scheduler(
            1,
            3,
            9,
            Tuning {
                policy: chosen_policy,
                ..Tuning::default()
            },
        );
        let mut live: Vec<(JobId, u32)> = Vec::new();
        let mut actions: Vec<Action> = Vec::new();
        let mut fences: Vec<Fence> = (0..12).map(|_| Fence::default()).collect();
        let mut out = [false; 3];
        for (step, (event, n)) in events.into_iter().enumerate() {
            let now = at_ms(step as u64 * 300);
            let pick = |len: usize| usize::from(n) % len.max(1);
            let worker = WorkerId(u32::from(n) % 12);
            match event % 12 {
                0..=2 => {
                    let mut new_spec = spec(u32::from(n) % 3, 1 + u64::from(n) % 16_000);
                    new_spec.urgent = n % 7 == 0;
                    new_spec.checkpoints = n % 5 != 0;
                    live.extend(scheduler.submit(new_spec, now).map(|id| (id, 0)));
                }
                3 | 4 => {
                    while let Some(start) = scheduler.next_start(now) {
                        let chosen_worker = scheduler.placement().worker(start.worker);
                        let may_start =
                            matches!(chosen_worker.standing, Standing::Good | Standing::Probation);
                        let fence = &mut fences[start.worker.index()];
                        if out[chosen_worker.data_centre.index()]
                            || !may_start
                            || !fence.admit(1, start.job, start.run)
                            || fence.admit(1, start.job, start.run)
                        {
                            return false;
                        }
                        live.iter_mut()
                            .filter(|(id, _)| *id == start.job)
                            .for_each(|(_, run)| *run = start.run);
                        if n % 3 != 0 {
                            scheduler.confirm_start(start.job, start.run);
                        }
                    }
                }
                5 if !live.is_empty() => {
                    let (id, run) = live[pick(live.len())];
                    let outcome = [Outcome::Succeeded, Outcome::Failed, Outcome::Stopped];
                    scheduler.run_ended(id, run, outcome[usize::from(n) % 3], now);
                    scheduler.forget(id);
                }
                6 if !live.is_empty() => {
                    let (id, _) = live[pick(live.len())];
                    actions.extend(scheduler.cancel(id).ok().flatten());
                }
                7 => {
                    out[pick(3)] ^= true;
                    let id = DataCentreId(u32::from(n) % 3);
                    actions.extend(scheduler.set_out_of_service(id, out[pick(3)], now));
                }
                8 => drop(scheduler.worker_lost(worker, now)),
                9 => scheduler.worker_rejoined(worker),
                10 if !live.is_empty() => {
                    let (id, run) = live[pick(live.len())];
                    let used = Size::new(u64::from(n), u64::from(n) * 2, 0);
                    actions.extend(scheduler.report_usage(
                        id,
                        run,
                        used,
                        Duration::from_secs(3),
                        now,
                    ));
                }
                _ => {
                    actions.extend(scheduler.balance(now));
                    let half = actions.split_off(actions.len() / 2);
                    complete_actions(&mut scheduler, &half, now);
                }
            }
            let over = |(_, w): (WorkerId, &Worker)| !w.capacity.covers(w.reserved);
            let within_limits =
                (0..3).all(|workspace| scheduler.fairness().running(WorkspaceId(workspace)) <= 9);
            let mut workers = scheduler.placement().workers();
            if workers.any(over) || !within_limits || !reservations_match(&scheduler, &live) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

/// Returns whether the total reservations of the workers and the total usage of the workspaces
/// both equal the total reservations of the jobs.
fn reservations_match(scheduler: &Scheduler, live: &[(JobId, u32)]) -> bool {
    let held = live
        .iter()
        .filter_map(|(id, _)| scheduler.job(*id))
        .filter(|j| j.worker.is_some())
        .fold(Size::ZERO, |a, j| a + j.charge);
    let mut workers = Size::ZERO;
    scheduler
        .placement()
        .workers()
        .for_each(|(_, w)| workers = workers + w.reserved);
    let workspaces = (0..3).fold(Size::ZERO, |a, workspace| {
        a + scheduler.fairness().used(WorkspaceId(workspace))
    });
    workers == held && workspaces == held
}

/// Guards against a start that takes effect twice or was requested by an earlier holder of the
/// queue.
#[test]
fn a_fenced_start_takes_effect_once() {
    fn holds(requests: Vec<(u8, u8, u8)>) -> bool {
        let mut fence = Fence::default();
        let mut admitted: Vec<(u64, u32)> = Vec::new();
        let mut newest = 0;
        requests.into_iter().all(|(token, job, run)| {
            let (token, run) = (u64::from(token % 4), u32::from(run % 4) + 1);
            let job = 0x1_0000_0001 + u64::from(job % 4);
            let admits = fence.admit(token, JobId::from_number(job), run);
            let fresh = !admitted.iter().any(|(j, r)| *j == job && *r >= run);
            let expected = token >= newest && fresh;
            if admits {
                newest = token;
                admitted.push((job, run));
            }
            admits == expected
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}
