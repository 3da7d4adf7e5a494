use std::time::Duration;

use coriandernotch::job_store::ReadTimeout;

/// Timeout of a single call to the store.
const LONGEST: Duration = Duration::from_millis(1_200);

/// Replays the reads of a takeover: 258 of them, 32 at a time, of which each 25th first waits on a
/// connection that has gone silent. Returns the time until all are read.
fn takeover(timeout: impl Fn(&ReadTimeout, u32) -> Duration, read: Duration) -> Duration {
    let mut free_at = [Duration::ZERO; 32];
    let mut reads = ReadTimeout::new(LONGEST);
    for number in 0..258 {
        let place = free_at.iter_mut().min().unwrap();
        let silent = number % 25 == 24;
        let mut attempt = 0;
        loop {
            let limit = timeout(&reads, attempt);
            if read <= limit && !(silent && attempt == 0) {
                break;
            }
            *place += limit;
            attempt += 1;
        }
        *place += read;
        reads.record(read);
    }
    free_at.into_iter().max().unwrap()
}

/// Guards against a takeover that waits for the longest timeout because a few of its many reads go to
/// connections that have gone silent: the workers' leases ran out meanwhile.
#[test]
fn silent_connections_hold_up_a_takeover_briefly() {
    let fixed = |_: &ReadTimeout, _| LONGEST;
    let usual = Duration::from_millis(5);
    assert!(takeover(fixed, usual) > LONGEST);
    assert!(takeover(ReadTimeout::of, usual) < LONGEST / 2);
}

/// Guards against first attempts that all fail while the store is slow.
#[test]
fn a_slow_store_is_read_at_the_first_attempt() {
    let slow = Duration::from_millis(900);
    let fixed = takeover(|_, _| LONGEST, slow);
    // Only the reads of the first round need several attempts.
    assert!(takeover(ReadTimeout::of, slow) < fixed + 3 * LONGEST);
}
