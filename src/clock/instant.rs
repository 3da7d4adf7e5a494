use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time in nanoseconds since the machine started.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::clock::Instant;
///
/// let start = Instant::from_start(Duration::from_secs(1));
/// assert_eq!((start + Duration::from_secs(2)).since(start), Duration::from_secs(2));
/// assert_eq!(start.since(start + Duration::from_secs(2)), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// Makes an instant from the time since the machine started.
    pub fn from_start(elapsed: Duration) -> Self {
        Self(u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX))
    }

    /// Returns the nanoseconds since the machine started, for storage in an atomic.
    pub fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX)),
        )
    }
}
