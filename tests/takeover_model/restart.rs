//! Workers that restart under the id that they had, which a leader notices late or never.

use std::time::Duration;

use crate::action::{Action, Target};
use crate::cases::check_all;
use crate::fault::Fault;
use crate::job::Job;
use crate::kind::Kind;
use crate::scenario::{Scenario, ms};

/// The worker that restarts. Of two workers that are equally free, tasks start on it.
const RESTARTED: usize = 1;

/// The other worker.
const STEADY: usize = 0;

/// Returns the times `from`, `from + step` and so on up to `to`, in milliseconds.
fn times(from: u64, to: u64, step: usize) -> impl Iterator<Item = Duration> + Clone {
    (from..=to).step_by(step).map(ms)
}

fn restart(down: Duration) -> Action {
    Action::RestartWorker {
        worker: RESTARTED,
        down,
        keeps_id: true,
        silent: false,
    }
}

fn lose_worker(target: Target, worker: usize, fault: Fault, lasts: Duration) -> Action {
    Action::DisturbWorker {
        target,
        worker,
        fault,
        percent: 100,
        lasts,
    }
}

fn job(at: Duration, tasks: u32, steps: u32, run_time: Duration) -> Job {
    Job {
        at,
        tasks,
        steps,
        run_time,
        kind: Kind::Plain,
    }
}

/// Returns a scenario in which a leader without the store hears the end of a first step at 12.1 s
/// and starts the second one, before its successor can hear that end. All tasks before run on the
/// steady worker; the other one is idle and restarts at `restarted`, after the successor polled it.
fn second_step_after_takeover(seed: u64, restarted: Duration) -> Scenario {
    let lose_store = Action::DisturbStore {
        target: Target::Leader,
        fault: Fault::Silent,
        percent: 100,
        spares_reads: false,
        lasts: ms(9_000),
    };
    let unlist = Action::ExpireRegistration {
        worker: RESTARTED,
        lasts: ms(5_000),
    };
    let cut_off_successor = lose_worker(Target::Followers, STEADY, Fault::Refused, ms(2_900));
    Scenario {
        seed,
        jobs: vec![
            job(ms(4_000), 1, 2, ms(8_000)),
            job(ms(4_000), 1, 1, ms(16_000)),
        ],
        actions: vec![
            (ms(10), unlist),
            (ms(9_500), lose_store),
            (ms(9_500), cut_off_successor),
            (restarted, restart(ms(10))),
        ],
        ..Scenario::quiet(1)
    }
}

/// Guards against a start on an idle worker that the leader heard before its restart: the new
/// process does not know the fencing token of the next leader.
#[test]
fn nothing_starts_on_an_idle_worker_that_restarted_unnoticed() {
    let seeds = 0..5;
    check_all(seeds.flat_map(|seed| {
        times(11_600, 12_100, 50).map(move |at| second_step_after_takeover(seed, at))
    }));
}

/// Guards against the same on a worker whose first answer arrives after the next leader has begun.
#[test]
fn nothing_starts_on_a_process_that_first_answers_after_a_takeover() {
    let seeds = 0..5;
    check_all(seeds.flat_map(|seed| {
        times(11_600, 12_000, 50).map(move |at| {
            let mut scenario = second_step_after_takeover(seed, at);
            let until = at + ms(50) - ms(4_500);
            let lost = lose_worker(Target::Leader, RESTARTED, Fault::Refused, until);
            scenario.actions.push((ms(4_500), lost));
            scenario
        })
    }));
}

/// Guards against a second start of a task whose first start order reaches the new process of a
/// worker after the first answer of that process.
#[test]
fn a_start_order_that_reaches_the_new_process_is_not_repeated() {
    let late = Fault::Late(ms(88));
    let seeds = 0..20;
    check_all(seeds.flat_map(|seed| {
        let sent = times(4_000, 4_090, 15);
        let restarts = move |sent| times(10, 40, 15).map(move |after| (sent, sent + after));
        sent.flat_map(restarts)
            .map(move |(sent, restarted)| Scenario {
                seed,
                jobs: vec![job(ms(4_000), 1, 1, ms(1_000))],
                actions: vec![
                    (sent, lose_worker(Target::All, RESTARTED, late, ms(20))),
                    (restarted, restart(ms(5))),
                ],
                ..Scenario::quiet(1)
            })
    }));
}

/// Guards against taking the runs of a restarted worker as ended too early: its leases were granted
/// by the clock of the old process, and the new one shortens them only to the longest lease. The
/// worker is lost at some time after a start whose answer is received, or lost as well.
#[test]
fn a_restarted_worker_may_hold_the_longest_lease() {
    let lose_answers = lose_worker(Target::All, RESTARTED, Fault::Lost, ms(80));
    let seeds = 0..3;
    let cases = seeds.flat_map(|seed| times(4_000, 4_600, 20).map(move |at| (seed, at)));
    let cases = cases.flat_map(|case| [None, Some(lose_answers)].map(|lost| (case, lost)));
    check_all(cases.map(|((seed, at), answers)| {
        let lost = lose_worker(Target::All, RESTARTED, Fault::Silent, ms(9_000));
        let mut actions = vec![(ms(3_800), restart(ms(100))), (at, lost)];
        actions.extend(answers.map(|lost| (ms(4_000), lost)));
        Scenario {
            seed,
            jobs: vec![job(ms(4_000), 1, 1, ms(7_000))],
            actions,
            ..Scenario::quiet(1)
        }
    }));
}

/// Guards against taking a process for replaced by one that has its id: the next leader has not
/// read all ends of the new process, which it knows as a member only by the start of the old one.
/// The process registers later, and its other ends are read and acknowledged.
#[test]
fn a_process_with_the_same_id_does_not_replace_its_predecessor() {
    let unlist = Action::ExpireRegistration {
        worker: RESTARTED,
        lasts: ms(3_000),
    };
    let seeds = 0..6;
    check_all(seeds.flat_map(|seed| {
        let restarts = times(3_800, 4_000, 25);
        let crashes = move |restarted| times(4_120, 4_300, 60).map(move |at| (restarted, at));
        restarts
            .flat_map(crashes)
            .map(move |(restarted, crashed)| Scenario {
                seed,
                jobs: vec![job(ms(4_000), 3, 1, ms(400)), job(ms(4_000), 3, 1, ms(400))],
                actions: vec![
                    (restarted, unlist),
                    (restarted, restart(ms(5))),
                    (crashed, Action::Crash(ms(6_000))),
                ],
                ..Scenario::quiet(1)
            })
    }));
}

/// Guards against an acknowledgement that reaches the new process of a worker, and by which it
/// forgets ends that nobody has read: the position is one of the old process.
#[test]
fn the_new_process_forgets_no_end_that_is_not_read() {
    let seeds = 0..10;
    check_all(seeds.flat_map(|seed| {
        times(5_000, 5_300, 60).map(move |restarted| Scenario {
            seed,
            jobs: vec![job(ms(4_000), 2, 1, ms(200)), job(ms(5_400), 2, 1, ms(40))],
            actions: vec![(restarted, restart(ms(50)))],
            ..Scenario::quiet(1)
        })
    }));
}

/// Guards against a leader without the store that starts the task of a restarted worker again: its
/// successor, which it does not know, has read the end of the task before the restart.
#[test]
fn a_leader_without_the_store_does_not_give_up_restarted_workers() {
    let lose_store = Action::DisturbStore {
        target: Target::Leader,
        fault: Fault::Silent,
        percent: 100,
        spares_reads: false,
        lasts: ms(15_000),
    };
    let cut_off_successor = lose_worker(Target::Followers, STEADY, Fault::Silent, ms(12_000));
    let seeds = 0..10;
    check_all(seeds.flat_map(|seed| {
        times(10_600, 11_400, 100).map(move |restarted| {
            let until_restart = restarted + ms(50) - ms(5_800);
            let lost = lose_worker(Target::Leader, RESTARTED, Fault::Refused, until_restart);
            Scenario {
                seed,
                jobs: vec![job(ms(4_000), 1, 1, ms(6_000))],
                actions: vec![
                    (ms(5_000), lose_store),
                    (ms(5_000), cut_off_successor),
                    (ms(5_800), lost),
                    (restarted, restart(ms(10))),
                ],
                ..Scenario::quiet(1)
            }
        })
    }));
}
