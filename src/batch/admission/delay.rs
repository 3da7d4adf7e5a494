use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Shortest delay after which refused callers are asked to return.
const MIN: Duration = Duration::from_secs(1);

/// Longest such delay. A forecast does not reach further.
const MAX: Duration = Duration::from_secs(60);

/// Time over which returning callers are spread at least.
const MIN_SPREAD: Duration = Duration::from_secs(2);

/// Delay after which a refused caller is asked to return.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::batch::admission::Delay;
///
/// let delay = Delay::new(Duration::from_secs(4), "5c0e7a21d94b36f8", 1);
/// assert!((4..=6).contains(&delay.seconds()));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay(Duration);

impl Delay {
    /// Spreads `delay` by the job and the number of its attempts, so that callers refused together
    /// do not return together. Nobody is asked to return earlier than `delay`.
    pub fn new(delay: Duration, job: &str, attempt: u32) -> Self {
        let delay = delay.clamp(MIN, MAX);
        let mut hasher = DefaultHasher::new();
        (job, attempt).hash(&mut hasher);
        let fraction = (hasher.finish() >> 32) as f64 / f64::from(u32::MAX);
        let spread = (delay / 2).max(MIN_SPREAD);
        // The header has whole seconds; rounded down, the first of them are as many as the others.
        let spread = spread.mul_f64(fraction).as_secs();
        Self(Duration::from_secs(
            delay.as_secs_f64().ceil() as u64 + spread,
        ))
    }

    /// Returns the delay in whole seconds, at least 1.
    pub fn seconds(self) -> u32 {
        u32::try_from(self.0.as_secs()).unwrap_or(u32::MAX)
    }
}
