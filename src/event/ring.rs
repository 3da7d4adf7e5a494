use std::collections::VecDeque;

use super::{COUNT_OVER, Entry, Event, KEEP, Refusal};
use crate::clock::Instant;
use crate::collections::Map;

/// Events of the last hour, at most a fixed number of them.
///
/// Refusals have a part of their own, because they come in great numbers and must not push out
/// other events.
///
/// ```
/// use coriandernotch::clock::Instant;
/// use coriandernotch::event::{Event, Ring};
///
/// let mut ring = Ring::new(2, 2);
/// for _ in 0..3 {
///     ring.add(Instant::default(), Event::VoteLost);
/// }
/// assert_eq!(ring.list(Instant::default()).len(), 2);
/// ```
#[derive(Debug)]
pub struct Ring {
    most: usize,
    most_refusals: usize,
    events: VecDeque<Entry>,
    refusals: VecDeque<Entry>,
    /// Number of the refusal at the front, counted from the first ever.
    front: u64,
    /// Numbers of the refusals that still count repetitions.
    open: Map<Refusal, u64>,
}

impl Ring {
    /// Makes a ring for `most` events and `most_refusals` refusals besides.
    pub fn new(most: usize, most_refusals: usize) -> Self {
        Self {
            most,
            most_refusals,
            events: VecDeque::new(),
            refusals: VecDeque::new(),
            front: 0,
            open: Map::default(),
        }
    }

    /// Adds an event.
    pub fn add(&mut self, now: Instant, event: Event) {
        self.forget(now);
        if self.events.len() == self.most {
            self.events.pop_front();
        }
        self.events.push_back(Entry {
            first: now,
            last: now,
            count: 1,
            event,
        });
    }

    /// Counts a refusal when one like it was added in the last minute, or returns false.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::event::{Event, Refusal, Ring};
    ///
    /// let refusal = Refusal { reason: "stale", workspace: None, service: None };
    /// let mut ring = Ring::new(2, 2);
    /// assert!(!ring.count(Instant::default(), refusal));
    /// ring.refuse(Instant::default(), refusal, Event::VoteLost);
    /// assert!(ring.count(Instant::default(), refusal));
    /// assert_eq!(ring.list(Instant::default())[0].count, 2);
    /// ```
    pub fn count(&mut self, now: Instant, refusal: Refusal) -> bool {
        let index = self.open.get(&refusal).and_then(|n| self.index(*n));
        let entry = index.and_then(|index| self.refusals.get_mut(index));
        let Some(entry) = entry.filter(|e| now.since(e.first) < COUNT_OVER) else {
            return false;
        };
        entry.last = now;
        entry.count += 1;
        true
    }

    /// Adds a refusal that `event` describes, or counts it as [`Ring::count`] does.
    pub fn refuse(&mut self, now: Instant, refusal: Refusal, event: Event) {
        if self.count(now, refusal) {
            return;
        }
        self.forget(now);
        if self.refusals.len() == self.most_refusals {
            self.drop_refusal();
        }
        let number = self.front + self.refusals.len() as u64;
        self.open.insert(refusal, number);
        self.refusals.push_back(Entry {
            first: now,
            last: now,
            count: 1,
            event,
        });
    }

    /// Lists the events of the last hour, the newest first.
    pub fn list(&mut self, now: Instant) -> Vec<Entry> {
        self.forget(now);
        let mut out: Vec<Entry> = self.events.iter().chain(&self.refusals).cloned().collect();
        out.sort_by_key(|entry| std::cmp::Reverse(entry.last));
        out
    }

    fn index(&self, number: u64) -> Option<usize> {
        usize::try_from(number.checked_sub(self.front)?).ok()
    }

    fn forget(&mut self, now: Instant) {
        let old = |entry: Option<&Entry>| entry.is_some_and(|e| now.since(e.last) > KEEP);
        while old(self.events.front()) {
            self.events.pop_front();
        }
        while old(self.refusals.front()) {
            self.drop_refusal();
        }
    }

    fn drop_refusal(&mut self) {
        if self.refusals.pop_front().is_some() {
            self.front += 1;
            let front = self.front;
            self.open.retain(|_, number| *number >= front);
        }
    }
}
