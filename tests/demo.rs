//! Lengths of the steps of the demonstration.

use std::time::Duration;

use coriandernotch::demo::Timeline;

/// Time after which a change must be in force, so the rules check what starts later.
const BOUND: Duration = Duration::from_secs(4);

/// Shortest time of load after the bound, in which each rule gets hundreds of checks.
const CHECKED: Duration = Duration::from_secs(1);

/// Guards against a run too short for the checks of its rules, which ends with exit code 1.
#[test]
fn every_length_leaves_time_for_the_checks_of_each_rule() {
    for seconds in [1, 2, 5, 12, 17, 20, 60, 86_400] {
        let timeline = Timeline::of(Duration::from_secs(seconds));
        let out = timeline.data_centre_out;
        assert!(out >= BOUND + CHECKED, "{seconds} s: out for {out:?}");
        // The last target starts to leave when the outage begins.
        let left = timeline.outage + timeline.recovery + timeline.wind_down;
        assert!(left >= BOUND + CHECKED, "{seconds} s: left for {left:?}");
    }
}

/// Guards against steps that are stretched although the length suffices.
#[test]
fn a_run_of_the_default_length_is_not_stretched() {
    let timeline = Timeline::of(Duration::from_secs(20));
    assert_eq!(timeline.data_centre_out, Duration::from_secs(5));
    assert_eq!(timeline.wind_down, Duration::from_secs(2));
}
