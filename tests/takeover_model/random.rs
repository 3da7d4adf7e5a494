use std::time::Duration;

/// A generator of reproducible random numbers (SplitMix64).
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number below `limit`.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// Returns an index of a list of `len` entries.
    pub(crate) fn index(&mut self, len: usize) -> usize {
        self.below(len as u64) as usize
    }

    pub(crate) fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.index(choices.len())]
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Returns a duration of whole milliseconds in a range that excludes its end.
    pub(crate) fn ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(range.start + self.below(range.end - range.start))
    }
}
