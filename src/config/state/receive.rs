//! Handlers of messages from peers and of reads of the store.

use std::sync::Arc;

use super::State;
use super::successor::Successor;
use crate::clock::Instant;
use crate::config::{
    Ack, Affirmation, MAX_PENDING, Operation, Pending, Prepare, Revision, Version, Vote, Voter,
};

impl State {
    /// Records that the process runs; the vote is lost after a pause of more than
    /// [`crate::config::PAUSE_LIMIT`].
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{PAUSE_LIMIT, State, Vote};
    ///
    /// let mut state = State::example("a", &["a"], Instant::default());
    /// state.tick(Instant::default() + PAUSE_LIMIT * 2);
    /// assert_eq!(state.vote(), Vote::Lost);
    /// ```
    pub fn tick(&mut self, now: Instant) {
        self.note_activity(now);
        self.update_majority();
    }

    /// Applies the result of a head read that began at `started`.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{FRESHNESS, State};
    ///
    /// let mut state = State::example("x", &["a", "b"], Instant::default());
    /// let revision = state.revision().unwrap();
    /// let later = Instant::default() + FRESHNESS * 2;
    /// assert!(!state.is_fresh(later));
    /// state.on_head_read(later, later, &revision);
    /// assert!(state.is_fresh(later));
    /// ```
    pub fn on_head_read(&mut self, now: Instant, started: Instant, revision: &Revision) {
        self.note_activity(now);
        self.learn(revision.position(), Some(&revision.head));
        let current = self.revision_number();
        match &mut self.successor {
            Some(successor) if successor.position.revision == revision.number => {
                successor.head_read = successor.head_read.max(Some(started));
            }
            // A late reply that shows an older head is no evidence for the one in force.
            _ if current == Some(revision.number) => self.freshness.record_head_read(started),
            _ => {}
        }
        self.update_majority();
    }

    /// Applies a committed head, announced by its committer or fetched from a peer.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{State, Voter};
    ///
    /// let now = Instant::default();
    /// let other = State::example("a", &["a"], now);
    /// let mut state = State::new(Voter::new("x", 1), now);
    /// state.on_commit(now, &other.revision().unwrap());
    /// state.on_content(now, &other.in_force().unwrap().content);
    /// assert_eq!(state.in_force(), other.in_force());
    /// ```
    pub fn on_commit(&mut self, now: Instant, revision: &Revision) {
        self.note_activity(now);
        self.learn(revision.position(), Some(&revision.head));
        self.update_majority();
    }

    /// Accepts a document that [`State::wants`] requested; any other is ignored.
    ///
    /// See [`State::on_commit`] for an example.
    pub fn on_content(&mut self, now: Instant, content: &Arc<str>) {
        self.note_activity(now);
        if let Some(Successor {
            position,
            head: Some(head),
            ..
        }) = &self.successor
        {
            let version = Version {
                head: head.clone(),
                content: content.clone(),
            };
            if version.is_intact() {
                self.adopt(position.revision, version);
            }
        }
        self.update_majority();
    }

    /// Handles a proposal, sent by its committer or forwarded by a peer.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Ack, Commit, Operation, Origin, State, Voter};
    ///
    /// let now = Instant::default();
    /// let mut state = State::example("a", &["a"], now);
    /// let base = state.revision().unwrap();
    /// let commit = Commit::document(base, "[]", &Origin::new(Operation(2), "ana", 0));
    /// let ack = state.on_prepare(now, commit.prepare());
    /// assert_eq!(ack, Ack::Acknowledged(Voter::new("a", 1)));
    /// assert_eq!(state.enforced().count(), 2);
    /// ```
    pub fn on_prepare(&mut self, now: Instant, prepare: &Prepare) -> Ack {
        self.note_activity(now);
        if !prepare.is_valid() {
            return Ack::Invalid;
        }
        self.learn(prepare.base.position(), Some(&prepare.base.head));
        let ack = self.acknowledge(now, prepare);
        self.update_majority();
        ack
    }

    /// Keeps a valid proposal and returns the reply to its committer.
    fn acknowledge(&mut self, now: Instant, prepare: &Prepare) -> Ack {
        if let Some(newest) = self
            .newest_position()
            .filter(|p| p.revision > prepare.base.number)
        {
            return Ack::Stale(newest);
        }
        if !self
            .pending
            .iter()
            .any(|p| p.prepare.operation() == prepare.operation())
        {
            if self.pending.len() >= MAX_PENDING {
                return Ack::Busy;
            }
            self.pending.push(Pending {
                prepare: prepare.clone(),
                acknowledged_at: now,
            });
            self.missing
                .retain(|&operation| operation != prepare.operation());
            self.update_groups();
        }
        match self.vote {
            Vote::Held => Ack::Acknowledged(self.own_voter.clone()),
            Vote::Retired | Vote::Lost => Ack::Recorded,
        }
    }

    /// Drops a proposal whose committer guarantees that it never sent the write and never will.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Operation, State};
    ///
    /// let mut state = State::example("a", &["a"], Instant::default());
    /// state.on_abort(Instant::default(), Operation(2));
    /// assert_eq!(state.enforced().count(), 1);
    /// ```
    pub fn on_abort(&mut self, now: Instant, operation: Operation) {
        self.note_activity(now);
        self.pending.retain(|p| p.prepare.operation() != operation);
        self.missing.retain(|&missing| missing != operation);
        self.update_groups();
        self.update_majority();
    }

    /// Returns the reply to a pull of a peer.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{FRESHNESS, State};
    ///
    /// let now = Instant::default() + FRESHNESS * 2;
    /// let mut a = State::example("a", &["a", "b", "c"], Instant::default());
    /// let mut b = State::example("b", &["a", "b", "c"], Instant::default());
    /// a.on_ages(now, now, &b.on_pull(now));
    /// assert!(a.is_fresh(now));
    /// ```
    pub fn on_pull(&mut self, now: Instant) -> Affirmation {
        self.note_activity(now);
        if self.vote == Vote::Held {
            self.freshness.record_affirmation(&self.own_voter, now);
        }
        self.update_majority();
        self.affirmation(now)
    }

    /// Applies the reply to a pull that was sent at `sent`.
    ///
    /// See [`State::on_pull`] for an example.
    pub fn on_ages(&mut self, now: Instant, sent: Instant, affirmation: &Affirmation) {
        self.note_activity(now);
        if self.covers(affirmation) {
            match affirmation.vote {
                Vote::Held => self.freshness.record_affirmation(&affirmation.from, sent),
                Vote::Retired => self.freshness.record_retirement(&affirmation.from),
                Vote::Lost => {}
            }
            let sender_version = affirmation.position.map(|position| position.version);
            if sender_version == self.in_force().map(|version| version.head.version) {
                self.freshness.merge_ages(sent, &affirmation.ages);
            }
        }
        self.update_majority();
    }

    /// Applies the last message of a peer that retires.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::State;
    ///
    /// let now = Instant::default();
    /// let mut a = State::example("a", &["a", "b"], now);
    /// let mut b = State::example("b", &["a", "b"], now);
    /// let last = b.retire(now);
    /// a.on_retire(now, &last);
    /// assert!(a.is_retired(&last.from));
    /// ```
    pub fn on_retire(&mut self, now: Instant, affirmation: &Affirmation) {
        self.note_activity(now);
        if affirmation.vote == Vote::Retired && self.covers(affirmation) {
            self.freshness.record_retirement(&affirmation.from);
        }
        self.update_majority();
    }

    /// Gives up the vote of this incarnation and returns the message that informs peers.
    ///
    /// See [`State::on_retire`] for an example.
    pub fn retire(&mut self, now: Instant) -> Affirmation {
        self.note_activity(now);
        if self.vote == Vote::Held {
            self.vote = Vote::Retired;
            self.freshness.record_retirement(&self.own_voter);
        }
        self.update_majority();
        self.affirmation(now)
    }

    /// Switches to a new incarnation after the vote was lost; a commit has to make it a voter.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{PAUSE_LIMIT, State, Vote, Voter};
    ///
    /// let mut state = State::example("a", &["a"], Instant::default());
    /// let now = Instant::default() + PAUSE_LIMIT * 2;
    /// state.rejoin(now, Voter::new("a", 2));
    /// assert_eq!(state.vote(), Vote::Held);
    /// assert!(!state.is_fresh(now));
    /// ```
    pub fn rejoin(&mut self, now: Instant, own_voter: Voter) {
        self.note_activity(now);
        if own_voter != self.own_voter {
            self.own_voter = own_voter;
            self.vote = Vote::Held;
        }
        self.update_majority();
    }

    /// Builds the statement of what this instance has acknowledged.
    fn affirmation(&self, now: Instant) -> Affirmation {
        let position = self.newest_position();
        let newest_revision = position.map_or(0, |position| position.revision);
        Affirmation {
            from: self.own_voter.clone(),
            vote: self.vote,
            position,
            pending: self
                .pending
                .iter()
                .filter(|pending| pending.prepare.base.number >= newest_revision)
                .map(|pending| pending.prepare.operation())
                .collect(),
            ages: match self.successor {
                Some(_) => Vec::new(),
                None => self.freshness.ages(now),
            },
        }
    }
}
