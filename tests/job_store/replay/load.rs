use std::time::Duration;

use coriandernotch::clock::Instant;

/// Number of instances.
pub(super) const INSTANCES: u64 = 42;

/// Time between two submissions in calm and in the burst: 56 and 280 a second.
const CALM: Duration = Duration::from_nanos(1_000_000_000 / 56);
const BURST: Duration = Duration::from_nanos(1_000_000_000 / 280);

/// When the store becomes slow and the burst begins, when the burst ends, when the store is fast
/// again, and when the last submission arrives.
pub(super) const SLOW_FROM: Duration = Duration::from_secs(2);
const BURST_TO: Duration = Duration::from_secs(5);
pub(super) const SLOW_TO: Duration = Duration::from_secs(6);
const LAST: Duration = Duration::from_secs(8);

/// Time of the start of a replay.
pub(super) fn start() -> Instant {
    Instant::from_start(Duration::from_secs(1_000))
}

/// Returns the time of arrival of each submission.
pub(super) fn arrivals() -> Vec<Instant> {
    let mut times = Vec::new();
    let mut at = Duration::ZERO;
    while at < LAST {
        times.push(start() + at);
        let is_burst = (SLOW_FROM..BURST_TO).contains(&at);
        at += if is_burst { BURST } else { CALM };
    }
    times
}

/// Returns the id of a submission, and the instance to which it goes.
pub(super) fn id_and_instance(number: usize) -> (String, usize) {
    let hash = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hash = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (format!("{hash:016x}"), ((hash >> 32) % INSTANCES) as usize)
}
