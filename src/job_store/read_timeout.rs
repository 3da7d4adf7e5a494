use std::time::Duration;

/// Timeout of the first attempt of a read, above the 0.24 s that a read takes while the store is 60
/// times slower than usual.
const FIRST: Duration = Duration::from_millis(400);

/// Timeout of many reads that go side by side, which follows the time that they take.
///
/// Of many connections some may have gone silent. A read that waits on one of them for the longest
/// timeout would hold up all that needs the others' answers, so first attempts get less time.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::job_store::ReadTimeout;
///
/// let longest = Duration::from_millis(1_200);
/// let mut timeout = ReadTimeout::new(longest);
/// let ms = |timeout: ReadTimeout| [0, 1, 2].map(|attempt| timeout.of(attempt).as_millis());
/// assert_eq!(ms(timeout), [400, 1_200, 1_200]);
/// timeout.record(Duration::from_millis(300));
/// assert_eq!(ms(timeout), [600, 1_200, 1_200]);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReadTimeout {
    longest: Duration,
    first: Duration,
}

impl ReadTimeout {
    /// Creates the timeout of reads that may take `longest`.
    pub fn new(longest: Duration) -> Self {
        Self {
            longest,
            first: FIRST.min(longest),
        }
    }

    /// Returns the timeout of an attempt, counted from 0. Only the first one gets less time: a store
    /// that is slow would otherwise answer none of several attempts.
    pub fn of(&self, attempt: u32) -> Duration {
        match attempt {
            0 => self.first,
            _ => self.longest,
        }
    }

    /// Records the time that a read took which succeeded.
    pub fn record(&mut self, took: Duration) {
        self.first = self.first.max(took * 2).min(self.longest);
    }
}
