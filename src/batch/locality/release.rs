use std::time::Duration;

use crate::batch::estimate::Forecast;

/// Part of the expected run time by which an ordinary run may take longer than expected, as a
/// divisor. Declared run times have no spread of their own.
const LATE_DIVISOR: u32 = 2;

/// Processors that a run is expected to free.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::batch::{estimate::Forecast, locality::Release};
///
/// let second = Duration::from_secs(1);
/// let release = Release::new(1_000, second, Forecast::declared(2 * second));
/// assert_eq!((release.expected, release.late), (second, 2 * second));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// Processors in thousandths.
    pub processors: u64,
    /// Expected time until the run ends.
    pub expected: Duration,
    /// Time until the run ends if it takes long.
    pub late: Duration,
}

impl Release {
    /// Returns the release by a run of an age. A run that is overdue is expected to take as long
    /// again as it is overdue, so that one which never ends is not waited for.
    pub fn new(processors: u64, age: Duration, forecast: Forecast) -> Self {
        let Forecast { expected, tail } = forecast;
        let left = expected.abs_diff(age);
        let late = tail.saturating_sub(age);
        Self {
            processors,
            expected: left,
            late: late.max(left + expected / LATE_DIVISOR),
        }
    }
}
