use std::time::Duration;

use crate::clock::Instant;

/// Relates the monotonic clock to the time of day, for windows and periods only.
///
/// Build it anew now and then, since the time of day may be set while the process runs.
#[derive(Clone, Copy, Debug)]
pub struct Calendar {
    now: Instant,
    unix: u64,
}

impl Calendar {
    /// States that `unix` seconds since 1970 have passed at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::{clock::Instant, plans::Calendar};
    ///
    /// let calendar = Calendar::new(Instant::default(), 100);
    /// assert_eq!(calendar.unix(Instant::default() + Duration::from_secs(5)), 105);
    /// ```
    pub fn new(now: Instant, unix: u64) -> Self {
        Self { now, unix }
    }

    /// Returns the seconds since 1970 at `now`.
    pub fn unix(&self, now: Instant) -> u64 {
        let before: Duration = self.now.since(now);
        self.unix + now.since(self.now).as_secs() - before.as_secs().min(self.unix)
    }
}
