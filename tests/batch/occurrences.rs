use std::time::Duration;

use coriandernotch::batch::{Record, Spec, State, Step};

use crate::simulation::{START_MS, Simulation, config, profile, record, step};
use crate::takeover::running_progress;

/// Time by which the clock of the new leader is behind that of the old one.
const CLOCK_BEHIND: Duration = Duration::from_secs(3);

/// Builds a job whose second occurrence is due a second after the first.
fn recurring_job() -> Record {
    let job = record(vec![step(1)]);
    let spec = Spec {
        occurrences: 2,
        first_ms: START_MS,
        interval_ms: 1_000,
        ..job.spec
    };
    Record { spec, ..job }
}

/// Runs the job on a leader that stores nothing until both occurrences have started, and hands it to
/// a new leader whose clock is behind. Returns the number of starts in all.
fn hand_over(run_ms: u64) -> usize {
    let mut old = Simulation::with_workers(1);
    old.run_ms = run_ms;
    old.store_unavailable = true;
    old.accept("j", recurring_job());
    old.run(1_400);
    assert_eq!(old.starts.len(), 2);
    let mut sim = Simulation::new(2, config());
    sim.now = old.now - CLOCK_BEHIND;
    sim.workers = old.workers.clone();
    for worker in sim.workers.values_mut() {
        for run in &mut worker.running {
            run.ends_at = run.ends_at.map(|at| at - CLOCK_BEHIND);
        }
    }
    let progress = Some(running_progress());
    let wall = sim.wall_ms();
    sim.engine
        .load_job(&"j".into(), recurring_job(), progress, wall, sim.now);
    sim.engine.update_worker(profile("i-0", "s"));
    sim.engine.inherit(&[], false, sim.now);
    sim.run(8_000);
    assert!(sim.ended.contains_key("j"));
    old.starts.len() + sim.starts.len()
}

/// Guards against stopping runs of an occurrence that is not due yet by the clock of a new leader.
/// Their tasks were started again later.
#[test]
fn adopts_runs_of_an_occurrence_that_is_not_due_by_its_clock() {
    assert_eq!(hand_over(5_000), 2);
}

/// Guards against ignoring an end of such an occurrence: it was acknowledged, and the task started
/// again (rule TWICE).
#[test]
fn counts_ends_of_an_occurrence_that_is_not_due_by_its_clock() {
    assert_eq!(hand_over(300), 2);
}

/// Runs a job whose second occurrence is due a second after the first, which `end` ends before that,
/// on a leader that cannot store the end yet. Returns the number of starts.
fn starts_after_end(end: impl Fn(&mut Simulation), first_ms: u64) -> usize {
    let mut sim = Simulation::with_workers(2);
    sim.run_ms = 3_000;
    sim.accept("j", recurring_job());
    sim.run(first_ms);
    sim.store_unavailable = true;
    end(&mut sim);
    sim.run(8_000);
    sim.store_unavailable = false;
    sim.run(8_000);
    assert!(sim.ended.contains_key("j"));
    sim.starts.len()
}

/// Guards against beginning an occurrence of a cancelled job that comes due before the cancellation
/// is stored and its runs have stopped. Its tasks were started again and again (rules UNASKED and
/// TWICE).
#[test]
fn begins_no_occurrence_of_a_cancelled_job() {
    let cancel = |sim: &mut Simulation| {
        let wall = sim.wall_ms();
        sim.engine.cancel_job(&"j".into(), wall, sim.now);
    };
    assert_eq!(starts_after_end(cancel, 700), 1);
}

/// Guards against the same fault after a task of the job has failed too often.
#[test]
fn begins_no_occurrence_of_a_failed_job() {
    let fail = |sim: &mut Simulation| {
        for worker in sim.workers.values_mut() {
            worker.fails = true;
        }
    };
    // The task fails three times, which is the limit, before the second occurrence is due.
    assert_eq!(starts_after_end(fail, 0), 3);
}

/// Guards against a job that is removed while a copy in a complete occurrence is being stopped. The
/// engine panicked when it looked at that run, which ended the term (rule LOST).
#[test]
fn keeps_a_job_until_the_copies_in_complete_occurrences_have_stopped() {
    let mut sim = Simulation::with_workers(2);
    sim.run_ms = 1_300;
    let mut job = record(vec![Step {
        speculative: true,
        ..step(1)
    }]);
    (job.spec.occurrences, job.spec.first_ms) = (1, START_MS);
    sim.accept("j", job);
    sim.run(1_250);
    assert_eq!(sim.starts.len(), 2, "a copy was started");
    let set_stops_late = |sim: &mut Simulation, stops_late| {
        for worker in sim.workers.values_mut() {
            worker.stops_late = stops_late;
        }
    };
    set_stops_late(&mut sim, true);
    sim.run(600);
    assert!(sim.ended.contains_key("j"));
    assert_eq!(sim.engine.state(&"j".into()), Some(State::Completed));
    set_stops_late(&mut sim, false);
    sim.run(5_000);
    assert_eq!(sim.engine.state(&"j".into()), None);
    assert_eq!(sim.starts.len(), 2);
}
