use std::sync::Mutex;

use tokio::time::Instant;

use super::Kind;

/// Number of calls of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Calls since the start.
    pub total: u64,
    /// Largest number of calls within one second of the store's time.
    pub peak: u64,
    second: u64,
    current: u64,
}

impl Count {
    fn add(&mut self, second: u64, n: u64) {
        if self.second != second {
            self.second = second;
            self.current = 0;
        }
        self.total += n;
        self.current += n;
        self.peak = self.peak.max(self.current);
    }
}

/// Counts of calls, for checks of the load on the store.
///
/// Refused and conflicting calls count as well, since the service has to handle them.
pub struct Counters {
    start: Instant,
    counts: Mutex<[Count; Kind::COUNT + 1]>,
}

impl Counters {
    pub(super) fn new() -> Self {
        Self {
            start: Instant::now(),
            counts: Mutex::default(),
        }
    }

    /// Returns the number of calls of one class.
    ///
    /// ```
    /// use coriandernotch::standin::{Kind, Store};
    ///
    /// assert_eq!(Store::new().counters().get(Kind::Write).total, 0);
    /// ```
    pub fn get(&self, kind: Kind) -> Count {
        self.counts.lock().expect("counters lock")[kind.index()]
    }

    /// Returns the number of rows in transactions, applied or not.
    ///
    /// ```
    /// assert_eq!(coriandernotch::standin::Store::new().counters().rows().peak, 0);
    /// ```
    pub fn rows(&self) -> Count {
        self.counts.lock().expect("counters lock")[Kind::COUNT]
    }

    pub(super) fn add(&self, kind: Kind, rows: usize) {
        let second = self.start.elapsed().as_secs();
        let mut counts = self.counts.lock().expect("counters lock");
        counts[kind.index()].add(second, 1);
        counts[Kind::COUNT].add(second, rows as u64);
    }
}
