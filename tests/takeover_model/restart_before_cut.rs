//! Workers that restart under the id that they had and are cut off before the leader notices it.

use crate::action::{Action, Target};
use crate::cases::check_all;
use crate::fault::Fault;
use crate::job::Job;
use crate::kind::Kind;
use crate::random::Random;
use crate::scenario::{Scenario, ms};

/// The worker that restarts. Of two workers that are equally free, tasks start on it.
const RESTARTED: usize = 1;

/// Distinguishes the random numbers of these scenarios from those of others.
const SALT: u64 = 0xc07;

/// Number of scenarios.
const CASES: u64 = 1_000;

fn job(at: u64, tasks: u32, run_time: u64) -> Job {
    Job {
        at: ms(at),
        tasks,
        steps: 1,
        run_time: ms(run_time),
        kind: Kind::Plain,
    }
}

/// Returns a scenario in which a worker with a long task restarts silently, gets tasks of later jobs
/// and is cut off soon after.
fn restart_before_cut(seed: u64) -> Scenario {
    let mut random = Random::new(seed ^ SALT);
    let mut jobs = vec![job(4_000, 2, 9_000)];
    for _ in 0..8 {
        let run_time = random.pick(&[40, 200, 600, 2_000, 4_500]);
        jobs.push(job(
            4_600 + random.below(2_600),
            1 + random.below(3) as u32,
            run_time,
        ));
    }
    let down = random.ms(5..1_300);
    let restarted = ms(5_000);
    let cut = restarted + down + random.ms(0..1_200);
    let restart = Action::RestartWorker {
        worker: RESTARTED,
        down,
        keeps_id: true,
        silent: random.chance(80),
    };
    let lasts = random.ms(1_000..9_000);
    let mut actions = vec![
        (restarted, restart),
        (cut, Action::cut_off(RESTARTED, Target::All, lasts)),
    ];
    if random.chance(50) {
        let late = Action::DisturbWorker {
            target: Target::All,
            worker: RESTARTED,
            fault: Fault::Late(random.ms(50..3_000)),
            percent: 60,
            lasts: random.ms(50..900),
        };
        actions.push((restarted - random.ms(0..500), late));
    }
    if random.chance(30) {
        actions.push((cut - random.ms(0..600), Action::Crash(ms(3_500))));
    }
    Scenario {
        seed,
        jobs,
        actions,
        ..Scenario::quiet(1)
    }
}

/// Guards against trusting a process that took the place of another one under its id: it carries out
/// calls that were meant for its predecessor, with leases and positions that count from another
/// start (rule TWICE).
#[test]
fn calls_for_an_earlier_process_do_no_harm() {
    check_all((0..CASES).map(restart_before_cut));
}
