use std::time::Duration;

use coriandernotch::batch::admission::{Outlook, Publication, QueueForecast};

use crate::fixture::{forecast, now, outlook, work};

fn at(ms: u64) -> coriandernotch::clock::Instant {
    now() + Duration::from_millis(ms)
}

/// Guards against an outlook by a new leader that has not heard all workers yet and sees too little
/// capacity.
#[test]
fn a_new_leader_publishes_nothing_at_first() {
    let publication = Publication::new(now());
    assert!(!publication.is_due(&outlook(forecast()), at(2_999)));
    assert!(publication.is_due(&outlook(forecast()), at(3_000)));
}

/// Guards against writes of outlooks that say the same or come too often.
#[test]
fn publishes_changes_and_refreshes() {
    let mut publication = Publication::new(now());
    publication.record(outlook(forecast()), at(5_000));
    let similar = QueueForecast {
        total: work(30) + work(30) / 20,
        ..forecast()
    };
    assert!(!publication.is_due(&outlook(similar.clone()), at(5_500)));
    assert!(publication.is_due(&outlook(similar), at(6_000)));
    let longer = QueueForecast {
        total: work(40),
        ..forecast()
    };
    assert!(!publication.is_due(&outlook(longer.clone()), at(5_300)));
    assert!(publication.is_due(&outlook(longer), at(5_400)));
}

/// Guards against writes while there is nothing to tell, and against a backlog that stays published
/// after it is gone.
#[test]
fn publishes_the_end_of_a_backlog_once() {
    let calm = Outlook {
        token: outlook(forecast()).token,
        ..Outlook::default()
    };
    let mut publication = Publication::new(now());
    assert!(!publication.is_due(&calm, at(9_000)));
    publication.record(outlook(forecast()), at(9_000));
    assert!(publication.is_due(&calm, at(10_000)));
    publication.record(calm.clone(), at(10_000));
    assert!(!publication.is_due(&calm, at(60_000)));
}

/// Guards against a renewal that fails again and again because of the rows that it carries.
#[test]
fn adds_no_rows_after_a_failure() {
    let mut publication = Publication::new(now());
    publication.record_failure(false, at(5_000));
    assert!(!publication.is_due(&outlook(forecast()), at(9_000)));
    publication.record_success();
    assert!(publication.is_due(&outlook(forecast()), at(9_000)));
    publication.record_failure(true, at(9_000));
    publication.record_success();
    assert!(!publication.may_add_rows(at(38_900)));
    assert!(publication.may_add_rows(at(39_000)));
}

/// Guards against a write with each renewal because the size of the largest job or the second of a
/// workspace beyond its weight has changed a little.
#[test]
fn small_changes_are_not_published() {
    let made = |kept, second| Outlook {
        over_rate: vec![("w".into(), second)],
        ..outlook(QueueForecast {
            largest_kept: Some(kept),
            ..forecast()
        })
    };
    let mut publication = Publication::new(now());
    publication.record(made(work(40), 1), at(5_000));
    assert!(!publication.is_due(&made(work(41), 2), at(5_500)));
    assert!(publication.is_due(&made(work(50), 1), at(5_500)));
}
