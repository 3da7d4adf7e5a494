use std::time::Duration;

use crate::clock::Instant;

/// Time in which a count of bytes that arrived loses half of its weight: long enough for a pause
/// between packets of a slow link, short against the callers' deadline of 3 s.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Bytes that arrived, of which older ones count less.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    bytes: usize,
    at: Instant,
}

impl Progress {
    /// Makes a count of nothing.
    pub fn new(now: Instant) -> Self {
        Self { bytes: 0, at: now }
    }

    /// Counts bytes that arrived.
    pub fn add(&mut self, bytes: usize, now: Instant) {
        let halves = self.halves(now);
        self.bytes = self.weigh(now).saturating_add(bytes);
        // Moved by whole halves only: otherwise a client that sends often would never lose any.
        self.at = self.at + HALF_LIFE * halves;
    }

    /// Returns the present weight of the bytes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::{clock, intake::Progress};
    ///
    /// let start = clock::now();
    /// let mut progress = Progress::new(start);
    /// progress.add(1_000, start);
    /// assert_eq!(progress.weigh(start + Duration::from_secs(1)), 250);
    /// ```
    pub fn weigh(&self, now: Instant) -> usize {
        self.bytes.checked_shr(self.halves(now)).unwrap_or(0)
    }

    fn halves(&self, now: Instant) -> u32 {
        let halves = now.since(self.at).as_millis() / HALF_LIFE.as_millis();
        u32::try_from(halves).unwrap_or(u32::MAX)
    }
}
