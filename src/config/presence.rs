use std::sync::Arc;

use super::{LIST_GAP, LIST_LAG, Voter};
use crate::clock::Instant;
use crate::collections::{Map, Set};

/// Tracks which voters are proven to have ended, from the platform's list of instances.
///
/// The proof relies on the platform: its list must not omit a running instance for longer than
/// [`LIST_LAG`]. An instance that was paused for more than [`super::PAUSE_LIMIT`] need not count as
/// running.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    /// For each voter that the list omits, by name: end of the first read that omitted it.
    omitted_since: Map<Arc<str>, Instant>,
    ended: Set<Voter>,
    last_read_end: Option<Instant>,
}

impl Presence {
    /// Applies a read of the list that took from `started` to `now` and returned `listed`.
    ///
    /// A voter has ended once the list has omitted it for [`LIST_LAG`] in reads at most
    /// [`LIST_GAP`] apart. A longer gap restarts the measurement, since the list may have contained
    /// the voter in between.
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
        listed: &Set<Arc<str>>,
    ) {
        if self
            .last_read_end
            .is_none_or(|last_end| started.since(last_end) > LIST_GAP)
        {
            self.omitted_since.clear();
        }
        self.last_read_end = Some(now);
        self.omitted_since
            .retain(|name, _| voters.iter().any(|voter| voter.name == *name));
        self.ended.retain(|voter| voters.contains(voter));
        for voter in voters {
            if listed.contains(&voter.name) {
                self.omitted_since.remove(&voter.name);
            } else if started.since(*self.omitted_since.entry(voter.name.clone()).or_insert(now))
                >= LIST_LAG
            {
                self.ended.insert(voter.clone());
            }
        }
    }

    /// Records a message from an instance, which proves that it runs even if the list omits it.
    ///
    /// ```
    /// coriandernotch::config::Presence::default().on_message("a");
    /// ```
    pub fn on_message(&mut self, name: &str) {
        self.omitted_since.remove(name);
    }

    /// Records that a newer process serves at the address of `voter`, whose process has thus ended.
    ///
    /// Only the same address proves this, since a port is bound by one process at a time. A newer
    /// process with the same name at another address may run beside a voter that is partitioned.
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
