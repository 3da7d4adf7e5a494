use std::sync::Arc;

use super::{LIST_GAP, LIST_LAG, Voter};
use crate::clock::Instant;
use crate::collections::{Map, Set};

/// Which voters are proven to have ended, from the platform's list.
///
/// The proof holds if the list omits no instance that runs for longer than [`LIST_LAG`], where an
/// instance that was stopped for more than [`super::PAUSE_LIMIT`] need not count as running.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    omitted: Map<Arc<str>, Instant>,
    ended: Set<Voter>,
    last: Option<Instant>,
}

impl Presence {
    /// Takes a read of the list from `started` to `now` that showed the instances `shown`.
    ///
    /// Voters whose omission lasts for [`LIST_LAG`] over reads at most [`LIST_GAP`] apart have
    /// ended. A gap starts the count anew, since the list may have shown a voter in between.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::collections::Set;
    /// use coriandernotch::config::{Presence, Voter};
    ///
    /// let voters = [Voter::new("a", 1)];
    /// let mut presence = Presence::default();
    /// for second in 0..=30 {
    ///     let now = Instant::from_start(Duration::from_secs(second));
    ///     presence.on_list(now, now, &voters, &Set::default());
    /// }
    /// assert!(presence.has_ended(&voters[0]));
    /// ```
    pub fn on_list(
        &mut self,
        now: Instant,
        started: Instant,
        voters: &[Voter],
        shown: &Set<Arc<str>>,
    ) {
        if self.last.is_none_or(|last| started.since(last) > LIST_GAP) {
            self.omitted.clear();
        }
        self.last = Some(now);
        self.omitted
            .retain(|name, _| voters.iter().any(|voter| voter.name == *name));
        self.ended.retain(|voter| voters.contains(voter));
        for voter in voters {
            if shown.contains(&voter.name) {
                self.omitted.remove(&voter.name);
            } else if started.since(*self.omitted.entry(voter.name.clone()).or_insert(now))
                >= LIST_LAG
            {
                self.ended.insert(voter.clone());
            }
        }
    }

    /// Notes a message from an instance, which therefore runs whatever the list shows.
    ///
    /// ```
    /// coriandernotch::config::Presence::default().on_message("a");
    /// ```
    pub fn on_message(&mut self, name: &str) {
        self.omitted.remove(name);
    }

    /// Notes that a newer process serves at the address of `voter`, so that this one has ended.
    ///
    /// Only the same address proves it, since a port is bound by one process at a time; a newer
    /// process of the same name elsewhere may run beside one that is cut off.
    ///
    /// ```
    /// use coriandernotch::config::{Presence, Voter};
    ///
    /// let mut presence = Presence::default();
    /// presence.on_restart(&Voter::new("a", 1));
    /// assert!(presence.has_ended(&Voter::new("a", 1)));
    /// ```
    pub fn on_restart(&mut self, voter: &Voter) {
        self.ended.insert(voter.clone());
    }

    /// Tells whether `voter` is proven to have ended.
    ///
    /// See [`Presence::on_list`] for an example.
    pub fn has_ended(&self, voter: &Voter) -> bool {
        self.ended.contains(voter)
    }
}
