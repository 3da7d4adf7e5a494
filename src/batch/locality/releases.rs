use std::time::Duration;

use super::Release;

/// Weight of the late releases against the expected ones in the expected wait: one in four runs is
/// taken to end late.
const LATE_WEIGHT: f64 = 0.25;

/// Expected releases of processors in a rack.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::batch::{estimate::Forecast, locality::{Release, Releases}};
///
/// let forecast = Forecast::declared(Duration::from_secs(2));
/// let run = Release::new(1_000, Duration::from_secs(1), forecast);
/// let releases = Releases::new([run, run]);
/// assert!(releases.wait_for(1_000) > Some(Duration::from_secs(1)));
/// assert_eq!(releases.wait_for(3_000), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Releases {
    /// Times in ascending order with the sum of the processors released by then.
    expected: Vec<(Duration, u64)>,
    late: Vec<(Duration, u64)>,
}

impl Releases {
    /// Collects the releases of runs.
    pub fn new(releases: impl IntoIterator<Item = Release>) -> Self {
        let releases: Vec<Release> = releases.into_iter().collect();
        let expected = releases.iter().map(|r| (r.expected, r.processors));
        let late = releases.iter().map(|r| (r.late, r.processors));
        Self {
            expected: sums(expected.collect()),
            late: sums(late.collect()),
        }
    }

    /// Returns the expected time until some processors are released, counted in thousandths; `None`
    /// if all runs together hold fewer.
    pub fn wait_for(&self, processors: u64) -> Option<Duration> {
        let expected = time_of(&self.expected, processors)?;
        let late = time_of(&self.late, processors)?;
        Some(expected.mul_f64(1.0 - LATE_WEIGHT) + late.mul_f64(LATE_WEIGHT))
    }
}

fn sums(mut releases: Vec<(Duration, u64)>) -> Vec<(Duration, u64)> {
    releases.sort_unstable();
    let mut sum = 0;
    for (_, processors) in &mut releases {
        sum += *processors;
        *processors = sum;
    }
    releases
}

fn time_of(sums: &[(Duration, u64)], processors: u64) -> Option<Duration> {
    let position = sums.partition_point(|(_, sum)| *sum < processors);
    sums.get(position).map(|(time, _)| *time)
}
