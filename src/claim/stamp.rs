use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

/// Wall-clock time in milliseconds since the Unix epoch, comparable between instances.
///
/// Between instances it decides only about the deduplication window of a day, so a clock skew of
/// seconds does no harm.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the current time.
    ///
    /// ```
    /// assert!(coriandernotch::claim::Timestamp::now().0 > 0);
    /// ```
    pub fn now() -> Self {
        let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self(elapsed.map_or(0, |e| u64::try_from(e.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is after this time.
    ///
    /// ```
    /// use coriandernotch::claim::Timestamp;
    ///
    /// assert_eq!(Timestamp(1500).since(Timestamp(500)).as_secs(), 1);
    /// assert!(Timestamp(500).since(Timestamp(1500)).is_zero());
    /// ```
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
