use std::time::Duration;

use crate::clock::Instant;

/// Converts times of the monotonic clock to Unix time, for maintenance windows and periods only.
///
/// Create a new one regularly, since the system clock may be set while the process runs.
#[derive(Clone, Copy, Debug)]
pub struct Calendar {
    origin: Instant,
    origin_unix_time: u64,
}

impl Calendar {
    /// Creates a calendar from a time and the same time in seconds since 1970.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::{clock::Instant, plans::Calendar};
    ///
    /// let calendar = Calendar::new(Instant::default(), 100);
    /// assert_eq!(calendar.unix_time(Instant::default() + Duration::from_secs(5)), 105);
    /// ```
    pub fn new(origin: Instant, origin_unix_time: u64) -> Self {
        Self {
            origin,
            origin_unix_time,
        }
    }

    /// Converts a time to seconds since 1970.
    pub fn unix_time(&self, now: Instant) -> u64 {
        let before_origin: Duration = self.origin.since(now);
        self.origin_unix_time + now.since(self.origin).as_secs()
            - before_origin.as_secs().min(self.origin_unix_time)
    }
}
