use std::time::Duration;

use super::bound::BOUND;

/// Load after [`BOUND`] in which a rule is checked.
const CHECKED: Duration = Duration::from_secs(1);

/// Time for all instances to read the list.
const LIST_BOUND: Duration = Duration::from_secs(2);

/// How long each step of the script takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeline {
    /// Load before the first change.
    pub warm_up: Duration,
    /// A data centre is out.
    pub data_centre_out: Duration,
    /// Each service in turn has five times its load.
    pub spike: Duration,
    /// A target leaves while the store works.
    pub leaving: Duration,
    /// The store is down, and another target leaves.
    pub outage: Duration,
    /// Load after the outage.
    pub recovery: Duration,
    /// Load after an entry instance was replaced.
    pub wind_down: Duration,
}

impl Timeline {
    /// Divides a run of `length` among the steps.
    ///
    /// Starts in a data centre that is out, and on a target that leaves, are checked from
    /// `BOUND` on. These steps last longer in a short run, since a rule without checks fails the run.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::demo::Timeline;
    ///
    /// let timeline = Timeline::of(Duration::from_secs(40));
    /// assert_eq!(timeline.data_centre_out, Duration::from_secs(10));
    /// ```
    pub fn of(length: Duration) -> Self {
        let outage = length.mul_f64(0.20);
        let recovery = length.mul_f64(0.05);
        Self {
            warm_up: length.mul_f64(0.05),
            data_centre_out: length.mul_f64(0.25).max(BOUND + CHECKED),
            spike: length.mul_f64(0.05),
            leaving: length.mul_f64(0.05).max(LIST_BOUND),
            outage,
            recovery,
            wind_down: length
                .mul_f64(0.10)
                .max((BOUND + CHECKED).saturating_sub(outage + recovery)),
        }
    }
}
