//! Time that counts suspension, for leases and deadlines.

mod instant;

pub use instant::Instant;

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the present time of `CLOCK_BOOTTIME`.
///
/// Unlike `std::time::Instant` this clock goes on while the machine is suspended, so a lease
/// cannot look alive after its holder was paused.
///
/// ```
/// let before = coriandernotch::clock::now();
/// assert!(coriandernotch::clock::now() >= before);
/// ```
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Instant::from_start(Duration::new(seconds, nanos))
}
