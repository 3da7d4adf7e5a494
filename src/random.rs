//! Pseudo-random numbers that depend only on a seed, for simulations and demonstrations.

/// SplitMix64 generator, so that a seed gives the same run everywhere.
#[derive(Clone, Copy, Debug)]
pub struct Random(u64);

/// Mean above which a Poisson draw is split into two, since `exp(-mean)` underflows.
const MAX_POISSON_MEAN: f64 = 30.0;

impl Random {
    /// Creates a generator from a seed.
    ///
    /// ```
    /// use coriandernotch::random::Random;
    ///
    /// assert_eq!(Random::new(1).number(), Random::new(1).number());
    /// ```
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number, uniform over all values.
    ///
    /// See [`Random::new`] for an example.
    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number from 0 to `bound` - 1, or 0 if `bound` is 0.
    ///
    /// ```
    /// use coriandernotch::random::Random;
    ///
    /// assert_eq!(Random::new(1).below(1), 0);
    /// ```
    pub fn below(&mut self, bound: u64) -> u64 {
        self.number().checked_rem(bound).unwrap_or(0)
    }

    /// Returns a number from `least` to `most`, both included.
    ///
    /// ```
    /// use coriandernotch::random::Random;
    ///
    /// assert_eq!(Random::new(1).between(5, 5), 5);
    /// ```
    pub fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below(most - least + 1)
    }

    /// Returns a fraction, uniform in `0.0..1.0`.
    ///
    /// ```
    /// use coriandernotch::random::Random;
    ///
    /// assert!((0.0..1.0).contains(&Random::new(1).fraction()));
    /// ```
    pub fn fraction(&mut self) -> f64 {
        (self.number() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a number, uniform in `low..high`.
    ///
    /// ```
    /// use coriandernotch::random::Random;
    ///
    /// assert!((2.0..3.0).contains(&Random::new(1).uniform(2.0, 3.0)));
    /// ```
    pub fn uniform(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.fraction()
    }

    /// Returns the number of events of a Poisson process with the given mean.
    ///
    /// ```
    /// use coriandernotch::random::Random;
    ///
    /// assert_eq!(Random::new(1).poisson(0.0), 0);
    /// ```
    pub fn poisson(&mut self, mean: f64) -> u32 {
        if mean > MAX_POISSON_MEAN {
            return self.poisson(mean / 2.0) + self.poisson(mean / 2.0);
        }
        let limit = (-mean).exp();
        let (mut product, mut count) = (self.fraction(), 0);
        while product > limit {
            product *= self.fraction();
            count += 1;
        }
        count
    }
}
