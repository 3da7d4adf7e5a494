//! Choice of workers and sizes.

use std::time::Duration;

use coriandernotch::fleet::{DataCentreId, WorkspaceId};
use coriandernotch::jobs::{RackId, Scheduler, Size, Tuning, Worker};

use super::fixture::{
    at_ms, complete_actions, new_scheduler, running, spec, start_all, submit_all,
};

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
