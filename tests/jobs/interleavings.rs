//! Random orders of events.

use std::time::Duration;

use coriandernotch::fleet::{DataCentreId, WorkspaceId};
use coriandernotch::jobs::{
    Action, Fence, JobId, Outcome, Policy, Scheduler, Size, Standing, Tuning, Worker, WorkerId,
};
use quickcheck::{Gen, QuickCheck};

use super::fixture::{SEED, at_ms, complete_actions, new_scheduler, spec};

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
