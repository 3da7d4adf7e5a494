//! Leases of runs and of queues.

use std::time::Duration;

use coriandernotch::jobs::{Fence, JobId, Lease, Owner, Ownership};
use quickcheck::{Gen, QuickCheck};

use super::fixture::{SEED, at_ms};

/// Guards against a holder that still acts on a lease that its grantor has given to another.
#[test]
fn a_lease_ends_for_its_holder_first() {
    // (renewal sent, renewal granted, now, lease is valid for the holder, has expired for the
    // grantor)
    let cases = [
        (0, 900, 9_999, true, false),
        (0, 900, 10_000, false, false),
        (0, 900, 10_899, false, false),
        (0, 900, 10_900, false, true),
        (0, 0, 3_600_000, false, true),
    ];
    let term = Duration::from_secs(10);
    for (sent, granted, now, holds, lapsed) in cases {
        assert_eq!(Lease::new(at_ms(sent), term).is_valid(at_ms(now)), holds);
        let grantor = Lease::new(at_ms(granted), term);
        assert_eq!(grantor.has_lapsed(at_ms(now), Duration::ZERO), lapsed);
    }
}

/// Guards against two instances that start jobs of one queue at the same time.
#[test]
fn a_paused_holder_of_a_queue_loses_its_lease_before_another_can_acquire_it() {
    let term = Duration::from_secs(4);
    for grace in [0, 30_000] {
        let mut first = Ownership::new(1, term, Duration::from_millis(grace));
        let mut second = Ownership::new(2, term, Duration::from_millis(grace));
        first.observe(Owner::default(), at_ms(0));
        let row = first.acquire(at_ms(0)).unwrap();
        first.write_succeeded(row, at_ms(0));
        second.observe(row, at_ms(100));
        assert_eq!(second.acquire(at_ms(4_099 + grace)), None);
        // The first holder is paused. Its lease ends before the second can acquire the queue.
        assert_eq!(first.token(at_ms(3_999)), Some(1));
        assert_eq!(first.token(at_ms(4_000)), None);
        assert_eq!(first.renew(at_ms(4_000)), None);
        let next = second.acquire(at_ms(4_100 + grace)).unwrap();
        assert!(next.token > row.token);
        second.write_succeeded(next, at_ms(4_100 + grace));
        first.observe(next, at_ms(4_200 + grace));
        assert_eq!(first.acquire(at_ms(4_200 + grace)), None);
    }
}

/// Guards against a candidate that takes the queue despite a renewal, and against an unsafe
/// handover on resignation.
#[test]
fn a_renewed_queue_is_not_taken_over_and_a_resigned_one_is() {
    let mut first = Ownership::new(1, Duration::from_secs(4), Duration::ZERO);
    let mut second = Ownership::new(2, Duration::from_secs(4), Duration::ZERO);
    first.observe(Owner::default(), at_ms(0));
    first.write_succeeded(first.acquire(at_ms(0)).unwrap(), at_ms(0));
    let renewed = first.renew(at_ms(3_000)).unwrap();
    first.write_succeeded(renewed, at_ms(3_000));
    second.observe(renewed, at_ms(3_100));
    assert_eq!(second.acquire(at_ms(5_000)), None);
    assert_eq!(first.token(at_ms(6_999)), Some(1));
    let resigned = first.resign(at_ms(5_000)).unwrap();
    assert_eq!(first.token(at_ms(5_000)), None);
    second.observe(resigned, at_ms(5_100));
    assert_eq!(second.acquire(at_ms(5_100)).unwrap().token, 2);
}

/// Guards against a start that takes effect twice or was requested by an earlier holder of the
/// queue.
#[test]
fn a_fenced_start_takes_effect_once() {
    fn holds(requests: Vec<(u8, u8, u8)>) -> bool {
        let mut fence = Fence::default();
        let mut admitted: Vec<(u64, u32)> = Vec::new();
        let mut newest = 0;
        requests.into_iter().all(|(token, job, run)| {
            let (token, run) = (u64::from(token % 4), u32::from(run % 4) + 1);
            let job = 0x1_0000_0001 + u64::from(job % 4);
            let admits = fence.admit(token, JobId::from_number(job), run);
            let fresh = !admitted.iter().any(|(j, r)| *j == job && *r >= run);
            let expected = token >= newest && fresh;
            if admits {
                newest = token;
                admitted.push((job, run));
            }
            admits == expected
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}
