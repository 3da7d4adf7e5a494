use std::time::Duration;

/// First wait.
const FIRST: Duration = Duration::from_millis(50);

/// Longest wait.
const LAST: Duration = Duration::from_secs(2);

/// Waits between tries, doubled each time and spread so that peers do not try together.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::peer::Backoff;
///
/// let mut backoff = Backoff::new(7);
/// assert!(backoff.next() <= Duration::from_millis(50));
/// (0..10).for_each(|_| drop(backoff.next()));
/// assert!(backoff.next() >= Duration::from_secs(1));
/// backoff.reset();
/// assert!(backoff.next() <= Duration::from_millis(50));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    wait: Duration,
    random: u64,
}

impl Backoff {
    /// Makes a sequence of waits; `seed` differs between instances.
    pub fn new(seed: u64) -> Self {
        Self {
            wait: FIRST,
            random: seed | 1,
        }
    }

    /// Returns the next wait, between half and all of the doubled time.
    #[expect(clippy::should_implement_trait, reason = "the sequence has no end")]
    pub fn next(&mut self) -> Duration {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        let part = 0.5 + (self.random % 1000) as f64 / 2000.0;
        let wait = self.wait.mul_f64(part);
        self.wait = (self.wait * 2).min(LAST);
        wait
    }

    /// Begins again after a success.
    pub fn reset(&mut self) {
        self.wait = FIRST;
    }
}
