use std::time::Duration;

use coriandernotch::batch::admission::Attempts;

use crate::fixture::now;

/// Guards against the refusal of a job that an earlier attempt has stored, or may have.
#[test]
fn remembers_jobs_that_may_be_stored() {
    let mut attempts = Attempts::default();
    assert!(!attempts.add("a", 1, now()).may_be_stored());
    attempts.record_write("a");
    assert!(attempts.add("a", 2, now()).may_be_stored());
    attempts.record_not_stored("a");
    assert!(!attempts.add("a", 3, now()).may_be_stored());
}

/// Guards against a write of unknown outcome that is forgotten when a later one certainly failed.
#[test]
fn one_failed_write_says_nothing_about_another() {
    let mut attempts = Attempts::default();
    attempts.add("a", 1, now());
    attempts.record_write("a");
    attempts.record_write("a");
    attempts.record_not_stored("a");
    assert!(attempts.add("a", 2, now()).may_be_stored());
}

/// Guards against returning callers that lose their place to those that came later.
#[test]
fn keeps_the_time_of_the_first_attempt() {
    let mut attempts = Attempts::default();
    attempts.add("a", 1_000, now());
    let later = now() + Duration::from_secs(60);
    let again = attempts.add("a", 61_000, later);
    assert_eq!((again.first_ms, again.count), (1_000, 2));
    // After the time for which callers repeat a request, the id begins anew.
    let much_later = now() + Duration::from_secs(121);
    let anew = attempts.add("a", 121_000, much_later);
    assert_eq!((anew.first_ms, anew.count), (121_000, 1));
}

/// Guards against memory that grows with the number of callers.
#[test]
fn bounds_the_number_of_jobs() {
    let mut attempts = Attempts::default();
    for job in 0..100_000 {
        attempts.add(&format!("{job}"), 1, now());
    }
    assert!(attempts.len() <= 4_096, "{}", attempts.len());
    assert!(
        attempts.add("99999", 2, now()).count == 2,
        "the latest are kept"
    );
}
