//! Schedulers with workers and workspaces, and what the workers answer.

use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::fleet::{DataCentreId, WorkspaceId};
use coriandernotch::jobs::{
    Action, JobId, KindId, Outcome, RackId, Scheduler, Size, Spec, Start, State, Tuning, Worker,
};

/// Seed of the random tests.
pub(super) const SEED: u64 = 20_260_101;
pub(super) const WORKER_SIZE: Size = Size::new(32_000, 131_072, 0);

/// Returns the instant `ms` milliseconds after the start of the clock.
pub(super) fn at_ms(ms: u64) -> Instant {
    Instant::from_start(Duration::from_millis(ms))
}

/// Returns a scheduler with three data centres of `racks` racks each, four workers in each rack,
/// and `workspaces` workspaces of equal weight.
pub(super) fn new_scheduler(racks: u32, workspaces: u32, limit: u32, tuning: Tuning) -> Scheduler {
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

pub(super) fn spec(workspace: u32, processors: u64) -> Spec {
    Spec {
        workspace: WorkspaceId(workspace),
        kind: KindId(workspace),
        declared: Size::new(processors, processors, 0),
        urgent: false,
        checkpoints: true,
    }
}

pub(super) fn submit_all(
    scheduler: &mut Scheduler,
    count: usize,
    spec: Spec,
    now: Instant,
) -> Vec<JobId> {
    let submit = |_| scheduler.submit(spec, now).unwrap();
    (0..count).map(submit).collect()
}

pub(super) fn start_all(scheduler: &mut Scheduler, now: Instant) -> Vec<Start> {
    let starts: Vec<_> = std::iter::from_fn(|| scheduler.next_start(now)).collect();
    for start in &starts {
        scheduler.confirm_start(start.job, start.run);
    }
    starts
}

/// Reports to the scheduler that each action was carried out.
pub(super) fn complete_actions(scheduler: &mut Scheduler, actions: &[Action], now: Instant) {
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

/// Returns the running jobs out of the first 500 submitted, with the number of their run.
pub(super) fn running(scheduler: &Scheduler) -> Vec<(JobId, u32)> {
    // The ids in a new arena are consecutive.
    (1..=500)
        .filter_map(|n| {
            let id = JobId::from_number(0x1_0000_0000 + n);
            let job = scheduler.job(id)?;
            (job.state == State::Running).then_some((id, job.run))
        })
        .collect()
}
