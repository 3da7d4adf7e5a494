//! A store that discards its history, so that the leader reads all jobs again.

use crate::action::Action;
use crate::cases::check_all;
use crate::job::Job;
use crate::kind::Kind;
use crate::scenario::{SHORT_RETENTION, Scenario, ms};

/// Guards against a start of an ended job whose rows are deleted while the jobs are read again. The
/// first jobs end by 4.4 s, and the end of the last one, at 10.9 s, comes with their deletion.
#[test]
fn a_job_that_is_deleted_while_jobs_are_read_does_not_start_again() {
    let job = |at, tasks, run_time| Job {
        at,
        tasks,
        steps: 1,
        run_time,
        kind: Kind::Plain,
    };
    let first_jobs = [job(ms(4_000), 1, ms(200)); 6];
    let last_jobs = [job(ms(4_300), 1, ms(6_500)); 2];
    let seeds = 0..8;
    check_all(seeds.flat_map(|seed| {
        let discarded = (10_700..=11_000).step_by(10).map(ms);
        discarded.map(move |at| Scenario {
            seed,
            jobs: first_jobs.into_iter().chain(last_jobs).collect(),
            retention: SHORT_RETENTION,
            actions: vec![(at, Action::DiscardHistory)],
            ..Scenario::quiet(1)
        })
    }));
}
