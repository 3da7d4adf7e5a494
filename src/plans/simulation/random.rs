/// SplitMix64 generator, so that the results of a run depend only on its seed.
#[derive(Clone, Copy, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates a generator from a seed.
    ///
    /// ```
    /// use coriandernotch::plans::simulation::Random;
    ///
    /// assert_eq!(Random::new(1).below(100), Random::new(1).below(100));
    /// ```
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number from 0 to `bound` - 1, or 0 if `bound` is 0.
    ///
    /// See [`Random::new`] for an example.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)).checked_rem(bound).unwrap_or(0)
    }

    /// Returns a number from `least` to `most`, both included.
    ///
    /// ```
    /// use coriandernotch::plans::simulation::Random;
    ///
    /// assert_eq!(Random::new(1).between(5, 5), 5);
    /// ```
    pub fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below(most - least + 1)
    }
}
