use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;

/// Time for which work is added up in one entry, which bounds the number of entries.
const ENTRY: Duration = Duration::from_millis(100);

/// Declared work that arrived or was completed recently for one service.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::batch::admission::Throughput;
/// use coriandernotch::clock::Instant;
///
/// let now = Instant::from_start(Duration::from_secs(9));
/// let mut throughput = Throughput::over(Duration::from_secs(2));
/// throughput.add(4_000, now);
/// assert_eq!(throughput.processors(now), 2);
/// assert_eq!(throughput.processors(now + Duration::from_secs(3)), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Throughput {
    /// Time over which work is averaged.
    window: Duration,
    /// Time and work, in thousandths of a processor times milliseconds.
    entries: VecDeque<(Instant, u64)>,
}

impl Throughput {
    /// Creates an average over the last `window`.
    pub fn over(window: Duration) -> Self {
        Self {
            window,
            entries: VecDeque::new(),
        }
    }

    /// Adds work.
    pub fn add(&mut self, work: u64, now: Instant) {
        match self.entries.back_mut() {
            Some((since, sum)) if now.since(*since) < ENTRY => *sum = sum.saturating_add(work),
            _ => self.entries.push_back((now, work)),
        }
        self.remove_old(now);
    }

    /// Returns the processors, in thousandths, to which the work corresponds.
    pub fn processors(&mut self, now: Instant) -> u64 {
        self.remove_old(now);
        let work = self.entries.iter().map(|(_, work)| *work);
        work.fold(0, u64::saturating_add)
            / u64::try_from(self.window.as_millis()).unwrap_or(1).max(1)
    }

    fn remove_old(&mut self, now: Instant) {
        let window = self.window;
        let is_old = |entry: &(Instant, u64)| now.since(entry.0) > window;
        while self.entries.front().is_some_and(is_old) {
            self.entries.pop_front();
        }
    }
}
