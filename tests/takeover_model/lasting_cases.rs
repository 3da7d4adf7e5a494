//! Lasting tasks and workers that are lost for good around a change of leader.

use std::time::Duration;

use crate::action::{Action, Target};
use crate::cases::check_all;
use crate::job::Job;
use crate::scenario::{ELECTED_AFTER, Scenario, ms};

/// The worker that is lost or cut off.
const AFFECTED: usize = 1;

/// Time at which the leader ends, so long after the submission that all tasks run.
const CHANGE_AT: Duration = Duration::from_secs(8);

/// Returns a scenario of lasting tasks on each of three workers.
fn lasting(seed: u64, actions: Vec<(Duration, Action)>) -> Scenario {
    Scenario {
        seed,
        workers: 3,
        jobs: vec![Job::lasting(ELECTED_AFTER, 6); 2],
        actions,
        ..Scenario::quiet(1)
    }
}

/// Guards against a new leader that waits for a worker that was lost for good until all leases of
/// its predecessor have expired, and starts no lasting task of the service until then.
#[test]
fn lasting_tasks_run_after_a_worker_is_lost_beside_the_leader() {
    let lost_at = (6_000..=9_500).step_by(500).map(ms);
    check_all(lost_at.flat_map(|lost_at| {
        (0..3_000).step_by(1_000).map(move |listed_ms| {
            let lost = Action::LoseWorker {
                worker: AFFECTED,
                listed_for: ms(listed_ms),
            };
            let change = Action::Crash(ms(1_000));
            lasting(listed_ms, vec![(lost_at, lost), (CHANGE_AT, change)])
        })
    }));
}

/// Guards against a second run of a task on a worker that works on: the store does not list it and
/// the new leader cannot reach it, but its predecessor without the store can. Its machine is listed.
#[test]
fn tasks_of_a_worker_that_only_the_previous_leader_reaches_run_once() {
    let unlisted_at = (0..=10_000).step_by(500).map(ms);
    check_all(unlisted_at.flat_map(|unlisted_at| {
        (0..=3_000).step_by(500).map(move |cut_off_after| {
            let lasts = ms(25_000);
            let unlist = Action::ExpireRegistration {
                worker: AFFECTED,
                lasts,
            };
            let cut_off = Action::cut_off(AFFECTED, Target::Followers, lasts);
            let lose_store = Action::DisturbStore {
                target: Target::Leader,
                fault: crate::fault::Fault::Silent,
                percent: 100,
                spares_reads: false,
                lasts,
            };
            let actions = vec![
                (CHANGE_AT, cut_off),
                (CHANGE_AT + ms(cut_off_after), lose_store),
                (unlisted_at, unlist),
            ];
            lasting(cut_off_after, actions)
        })
    }));
}
