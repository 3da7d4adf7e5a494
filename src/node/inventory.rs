use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::collections::Map;
use crate::config::{LIST_GAP, LIST_LAG};
use crate::platform::Instance;

/// Maximum age at which the last list is still used.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);

/// Time for which the list must omit an instance before the instance counts as unavailable.
///
/// It is shorter than [`LIST_LAG`]: counting a live instance as unavailable only delays planned
/// work, while a maintenance wave on top of an undetected failure breaks a budget.
const MISSING_AFTER: Duration = Duration::from_secs(5);

/// The platform's last list of instances, and when each instance was last in a list.
#[derive(Debug, Default)]
pub(super) struct Inventory {
    list: Arc<[Instance]>,
    by_name: Map<Arc<str>, usize>,
    /// Start of the last read that showed each instance.
    last_seen: Map<Arc<str>, Instant>,
    /// Start of the first read of the present series without a gap over [`LIST_GAP`].
    gapless_since: Option<Instant>,
    /// Start of the last read.
    last_read: Option<Instant>,
}

impl Inventory {
    /// Replaces the list by one that was requested at `started`.
    pub(super) fn update(&mut self, list: Arc<[Instance]>, started: Instant) {
        if self.last_read.is_none_or(|at| started.since(at) > LIST_GAP) {
            self.last_seen.clear();
            self.gapless_since = Some(started);
        }
        self.last_read = Some(started);
        self.by_name = list
            .iter()
            .enumerate()
            .map(|(i, instance)| (instance.name.clone(), i))
            .collect();
        self.last_seen
            .extend(list.iter().map(|i| (i.name.clone(), started)));
        self.last_seen
            .retain(|_, at| started.since(*at) <= LIST_LAG);
        self.list = list;
    }

    /// Returns the last list.
    pub(super) fn list(&self) -> Arc<[Instance]> {
        self.list.clone()
    }

    /// Finds an instance in the list; `None` when the list is too old or has omitted the instance
    /// only for a short time.
    pub(super) fn find(&self, name: &str, now: Instant) -> Option<Result<&Instance, Missing>> {
        let fresh = self
            .last_read
            .is_some_and(|at| now.since(at) <= MAX_LIST_AGE);
        if !fresh {
            return None;
        }
        match self.by_name.get(name) {
            Some(index) => Some(Ok(&self.list[*index])),
            None => (self.omitted_for(name, now) > MISSING_AFTER).then_some(Err(Missing)),
        }
    }

    /// Returns whether an entry instance has ended, because the list has omitted it for
    /// [`LIST_LAG`].
    pub(super) fn has_ended(&self, name: &str, now: Instant) -> bool {
        self.find(name, now).is_some_and(|found| found.is_err())
            && self.omitted_for(name, now) >= LIST_LAG
    }

    /// Returns for how long the list has omitted an instance, counted from [`Self::gapless_since`]
    /// if no read has shown it.
    fn omitted_for(&self, name: &str, now: Instant) -> Duration {
        let start = self.last_seen.get(name).copied().or(self.gapless_since);
        start.map_or(Duration::ZERO, |start| now.since(start))
    }
}

/// The list has omitted the instance for more than [`MISSING_AFTER`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Missing;
