use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::collections::Map;
use crate::config::{LIST_GAP, LIST_LAG};
use crate::platform::Instance;

/// Time without a reading after which the list says nothing any more.
const STALE: Duration = Duration::from_secs(3);

/// Time for which the list may omit an instance before it counts as unavailable.
///
/// Shorter than [`LIST_LAG`], since counting a live instance as unavailable only delays planned
/// work, while a wave on top of an unseen failure breaks a budget.
const MISSING: Duration = Duration::from_secs(5);

/// The platform's list over time.
#[derive(Debug, Default)]
pub(super) struct Sightings {
    list: Arc<[Instance]>,
    by_name: Map<Arc<str>, usize>,
    seen: Map<Arc<str>, Instant>,
    /// Since when readings have had no gap.
    since: Option<Instant>,
    read: Option<Instant>,
}

impl Sightings {
    /// Takes over a list that was asked for at `started`.
    pub(super) fn take(&mut self, list: Arc<[Instance]>, started: Instant) {
        if self.read.is_none_or(|read| started.since(read) > LIST_GAP) {
            self.seen.clear();
            self.since = Some(started);
        }
        self.read = Some(started);
        self.by_name = list
            .iter()
            .enumerate()
            .map(|(i, instance)| (instance.name.clone(), i))
            .collect();
        self.seen
            .extend(list.iter().map(|i| (i.name.clone(), started)));
        self.seen.retain(|_, at| started.since(*at) <= LIST_LAG);
        self.list = list;
    }

    /// Returns the last list.
    pub(super) fn list(&self) -> Arc<[Instance]> {
        self.list.clone()
    }

    /// Returns what the list says of an instance, `None` when that is not known.
    pub(super) fn find(&self, name: &str, now: Instant) -> Option<Result<&Instance, Missing>> {
        let fresh = self.read.is_some_and(|read| now.since(read) <= STALE);
        if !fresh {
            return None;
        }
        match self.by_name.get(name) {
            Some(place) => Some(Ok(&self.list[*place])),
            None => (self.missing_for(name, now) > MISSING).then_some(Err(Missing)),
        }
    }

    /// Returns whether an entry instance has ended: the list has omitted it for [`LIST_LAG`].
    pub(super) fn has_ended(&self, name: &str, now: Instant) -> bool {
        self.find(name, now).is_some_and(|found| found.is_err())
            && self.missing_for(name, now) >= LIST_LAG
    }

    fn missing_for(&self, name: &str, now: Instant) -> Duration {
        let last = self.seen.get(name).copied().or(self.since);
        last.map_or(Duration::ZERO, |last| now.since(last))
    }
}

/// The list omits the instance for longer than it may lag for a short while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Missing;
