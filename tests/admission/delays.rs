use std::time::Duration;

use coriandernotch::batch::admission::Delay;
use coriandernotch::collections::Map;

/// Guards against callers refused together that return together, and against a return before room
/// is expected.
#[test]
fn spreads_returning_callers() {
    for seconds in [1, 3, 10] {
        let delay = Duration::from_secs(seconds);
        let mut counts: Map<u32, u32> = Map::default();
        for job in 0..1_000 {
            let id = format!("{job:016x}");
            *counts
                .entry(Delay::new(delay, &id, 1).seconds())
                .or_default() += 1;
        }
        let (first, last) = (counts.keys().min().unwrap(), counts.keys().max().unwrap());
        assert_eq!(u64::from(*first), seconds);
        assert!(*last > *first && u64::from(*last) <= seconds + (seconds / 2).max(2));
        let expected = 1_000 / (last - first + 1);
        assert!(
            counts
                .values()
                .all(|n| (expected / 2..expected * 2).contains(n)),
            "{counts:?}"
        );
    }
}

/// Guards against callers that meet the same others at each attempt.
#[test]
fn spreads_attempts_of_one_job() {
    let delay = |attempt| Delay::new(Duration::from_secs(20), "5c0e7a21d94b36f8", attempt);
    let delays: Vec<u32> = (1..10).map(|attempt| delay(attempt).seconds()).collect();
    assert!(delays.iter().any(|other| *other != delays[0]), "{delays:?}");
}

/// Guards against a delay of zero, which some clients take as permission to return at once, and
/// against one beyond what a forecast tells.
#[test]
fn bounds_the_delay() {
    for id in ["a", "b", "c"] {
        assert!(Delay::new(Duration::ZERO, id, 1).seconds() >= 1);
        assert!(Delay::new(Duration::MAX, id, 1).seconds() <= 90);
    }
}
