//! The choice between a far place now and a near one later, without an engine.

use std::time::Duration;

use coriandernotch::batch::estimate::Forecast;
use coriandernotch::batch::locality::{Choice, Decision, Release, Releases};
use coriandernotch::clock::Instant;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn now() -> Instant {
    Instant::from_start(Duration::from_secs(100))
}

/// Returns the choice of a task that takes 1 s near and 3 s far, with much time left.
fn choice() -> Choice {
    Choice {
        near: ms(1_000),
        far: ms(3_000),
        left: Some(ms(60_000)),
        ..Choice::default()
    }
}

fn until(latest_ms: u64) -> Decision {
    Decision::WaitUntil(now() + ms(latest_ms))
}

/// Guards against a wait that takes longer than the near place saves.
#[test]
fn waits_for_less_than_it_saves() {
    assert_eq!(choice().decide(Some(ms(1_900)), now()), until(2_000));
    assert_eq!(choice().decide(Some(ms(2_000)), now()), Decision::Far);
}

/// Guards against a wait for a rack in which nothing will be free.
#[test]
fn goes_far_if_no_near_place_is_expected() {
    assert_eq!(choice().decide(None, now()), Decision::Far);
}

/// Guards against a wait where a far place takes no longer, or less time.
#[test]
fn goes_far_if_that_takes_no_longer() {
    for far in [1_000, 900] {
        let choice = Choice {
            far: ms(far),
            ..choice()
        };
        assert_eq!(choice.decide(Some(Duration::ZERO), now()), Decision::Far);
    }
}

/// Guards against a task that waits for ever because others take each near place.
#[test]
fn a_wait_is_bounded_from_the_time_at_which_the_task_was_ready() {
    let waited = |waited_ms| Choice {
        waited: ms(waited_ms),
        ..choice()
    };
    assert_eq!(waited(500).decide(Some(ms(1_000)), now()), until(1_500));
    assert_eq!(waited(1_000).decide(Some(ms(1_000)), now()), Decision::Far);
    assert_eq!(waited(9_000).decide(Some(ms(1)), now()), Decision::Far);
}

/// Guards against a far run that takes room from others for longer although the job has time.
#[test]
fn waits_longer_while_others_want_the_room() {
    let crowded = Choice {
        crowded: true,
        ..choice()
    };
    assert_eq!(crowded.decide(Some(ms(3_900)), now()), until(4_000));
    assert_eq!(crowded.decide(Some(ms(4_000)), now()), Decision::Far);
}

/// Guards against a wait past the point where going far is still in time, the later steps included,
/// and against one that is expected to end only after it.
#[test]
fn a_wait_ends_while_going_far_is_in_time() {
    let tight = Choice {
        left: Some(ms(4_500)),
        rest: ms(500),
        ..choice()
    };
    assert_eq!(tight.decide(Some(ms(900)), now()), until(1_000));
    assert_eq!(tight.decide(Some(ms(1_000)), now()), Decision::Far);
}

/// Guards against a task that goes far and is late although it would be in time near, also when it
/// has waited for long.
#[test]
fn waits_while_only_a_near_place_is_in_time() {
    let near_only = Choice {
        left: Some(ms(2_500)),
        waited: ms(9_000),
        ..choice()
    };
    assert_eq!(near_only.decide(Some(ms(1_400)), now()), until(1_500));
    assert_eq!(near_only.decide(Some(ms(1_600)), now()), Decision::Far);
}

/// Guards against a job that is late either way and waits longer than it saves, for the sake of
/// others as well.
#[test]
fn a_late_job_goes_where_it_ends_first() {
    for left in [None, Some(ms(500))] {
        let late = Choice {
            left,
            crowded: true,
            ..choice()
        };
        assert_eq!(late.decide(Some(ms(1_900)), now()), until(2_000));
        assert_eq!(late.decide(Some(ms(2_100)), now()), Decision::Far);
        let waited = Choice {
            waited: ms(1_000),
            ..late
        };
        assert_eq!(waited.decide(Some(ms(1_100)), now()), Decision::Far);
    }
}

/// Guards against a wait for the first end alone although other tasks are before this one.
#[test]
fn tasks_ahead_make_the_wait_longer() {
    let forecast = Forecast::declared(ms(1_000));
    let runs = [900, 500, 100].map(|age| Release::new(1_000, ms(age), forecast));
    let releases = Releases::new(runs);
    // A quarter of the late end, which is half a run time later, counts.
    assert_eq!(releases.wait_for(1_000), Some(ms(225)));
    assert_eq!(releases.wait_for(2_000), Some(ms(625)));
    assert_eq!(releases.wait_for(3_000), Some(ms(1_025)));
    assert_eq!(releases.wait_for(3_001), None);
}

/// Guards against a run that is always taken to end soon although it is long overdue.
#[test]
fn an_overdue_run_is_expected_ever_later() {
    let forecast = Forecast::declared(ms(1_000));
    let left = [1_100, 2_000, 9_000].map(|age| Release::new(1, ms(age), forecast).expected);
    assert_eq!(left, [ms(100), ms(1_000), ms(8_000)]);
}

/// Guards against run times with a wide spread that count like certain ones.
#[test]
fn a_wide_spread_makes_the_wait_longer() {
    let wide = Forecast {
        expected: ms(1_000),
        tail: ms(5_000),
    };
    let wait = |forecast| Releases::new([Release::new(1, ms(0), forecast)]).wait_for(1);
    assert!(wait(wide) > wait(Forecast::declared(ms(1_000))));
}
