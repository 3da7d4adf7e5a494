use std::sync::{Mutex, MutexGuard};

use super::{Entry, Event, Refusal, Ring};
use crate::clock::Instant;

/// Events kept besides refusals; a day has 1,600 changes, so an hour has about 70, each with up to
/// three events.
const MOST: usize = 512;

/// Refusals kept: 150 workspaces with a few reasons each.
const MOST_REFUSALS: usize = 1024;

/// Events of one entry instance, shared by its tasks.
///
/// ```
/// use coriandernotch::clock::Instant;
/// use coriandernotch::event::{Event, Log};
///
/// let log = Log::default();
/// log.add(Instant::default(), Event::VoteLost);
/// assert_eq!(log.list(Instant::default()).len(), 1);
/// ```
#[derive(Debug)]
pub struct Log(Mutex<Ring>);

impl Default for Log {
    fn default() -> Self {
        Self(Mutex::new(Ring::new(MOST, MOST_REFUSALS)))
    }
}

impl Log {
    /// Adds an event.
    pub fn add(&self, now: Instant, event: Event) {
        self.ring().add(now, event);
    }

    /// Counts a refusal, or adds the event that `describe` makes when there is none like it.
    ///
    /// `describe` runs without the lock, because it takes locks under which events are added.
    pub fn refuse(&self, now: Instant, refusal: Refusal, describe: impl FnOnce() -> Event) {
        if !self.ring().count(now, refusal) {
            let event = describe();
            self.ring().refuse(now, refusal, event);
        }
    }

    /// Lists the events of the last hour, the newest first.
    pub fn list(&self, now: Instant) -> Vec<Entry> {
        self.ring().list(now)
    }

    fn ring(&self) -> MutexGuard<'_, Ring> {
        self.0.lock().expect("event lock")
    }
}
