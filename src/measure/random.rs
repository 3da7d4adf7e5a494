/// Repeatable pseudo-random numbers (splitmix64), so that a seed gives the same run everywhere.
#[derive(Clone, Debug)]
pub(super) struct Random(u64);

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(super) fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// Uniform in `0.0..1.0`.
    pub(super) fn unit(&mut self) -> f64 {
        (self.number() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Uniform in `low..high`.
    pub(super) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Number of events of a Poisson process with the given mean.
    pub(super) fn poisson(&mut self, mean: f64) -> u32 {
        // Large means are split, since exp(-mean) underflows.
        if mean > 30.0 {
            return self.poisson(mean / 2.0) + self.poisson(mean / 2.0);
        }
        let limit = (-mean).exp();
        let (mut product, mut count) = (self.unit(), 0);
        while product > limit {
            product *= self.unit();
            count += 1;
        }
        count
    }
}
