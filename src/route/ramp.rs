use std::time::Duration;

use crate::clock::Instant;

/// Slow start of a returning target: its usable slots grow linearly to their full number.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::clock::Instant;
/// use coriandernotch::route::Ramp;
///
/// let start = Instant::default();
/// let ramp = Ramp::new(start, Duration::from_secs(10));
/// assert_eq!(ramp.slots(8, start), 1);
/// assert_eq!(ramp.slots(8, start + Duration::from_secs(5)), 4);
/// assert_eq!(ramp.slots(8, start + Duration::from_secs(20)), 8);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    start: Instant,
    length: Duration,
}

impl Ramp {
    /// Creates a ramp that begins at `start` and reaches all slots after `length`.
    pub fn new(start: Instant, length: Duration) -> Self {
        Self { start, length }
    }

    /// Returns how many of `slots` may be used at `now`, at least one.
    pub fn slots(&self, slots: u32, now: Instant) -> u32 {
        let elapsed = now.since(self.start);
        if elapsed >= self.length {
            return slots;
        }
        let fraction = elapsed.as_secs_f64() / self.length.as_secs_f64();
        ((f64::from(slots) * fraction) as u32).clamp(1, slots)
    }
}
