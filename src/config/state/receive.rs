//! What an instance does with messages and reads.

use std::sync::Arc;

use super::State;
use super::newer::Newer;
use crate::clock::Instant;
use crate::config::{
    Ack, Affirmation, MAX_PENDING, Operation, Pending, Prepare, Revision, Version, Vote, Voter,
};

impl State {
    /// Notes that the process runs.
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
        self.touch(now);
        self.refresh();
    }

    /// Takes the result of a head read that began at `started`.
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
        self.touch(now);
        self.learn(revision.position(), Some(&revision.head));
        let in_force = self.number();
        match &mut self.newer {
            Some(newer) if newer.position.revision == revision.number => {
                newer.head_read = newer.head_read.max(Some(started));
            }
            // A late answer that shows an older head says nothing of the one in force.
            _ if in_force == Some(revision.number) => self.freshness.read(started),
            _ => {}
        }
        self.refresh();
    }

    /// Takes the news that a version was committed, or a head that a peer knows.
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
        self.touch(now);
        self.learn(revision.position(), Some(&revision.head));
        self.refresh();
    }

    /// Takes a document that [`State::wants`] asked for; any other is ignored.
    ///
    /// See [`State::on_commit`] for an example.
    pub fn on_content(&mut self, now: Instant, content: &Arc<str>) {
        self.touch(now);
        if let Some(Newer {
            position,
            head: Some(head),
            ..
        }) = &self.newer
        {
            let version = Version {
                head: head.clone(),
                content: content.clone(),
            };
            if version.is_intact() {
                self.adopt(position.revision, version);
            }
        }
        self.refresh();
    }

    /// Takes a proposal, from its committer or passed on by a peer.
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
        self.touch(now);
        if !prepare.is_sound() {
            return Ack::Invalid;
        }
        self.learn(prepare.base.position(), Some(&prepare.base.head));
        let ack = self.acknowledge(now, prepare);
        self.refresh();
        ack
    }

    fn acknowledge(&mut self, now: Instant, prepare: &Prepare) -> Ack {
        if let Some(newest) = self.newest().filter(|p| p.revision > prepare.base.number) {
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
                acknowledged: now,
            });
            self.missing
                .retain(|&operation| operation != prepare.operation());
            self.regroup();
        }
        match self.vote {
            Vote::Held => Ack::Acknowledged(self.own.clone()),
            Vote::Retired | Vote::Lost => Ack::Recorded,
        }
    }

    /// Takes the promise of a committer that it never sent the write and never will.
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
        self.touch(now);
        self.pending.retain(|p| p.prepare.operation() != operation);
        self.missing.retain(|&missing| missing != operation);
        self.regroup();
        self.refresh();
    }

    /// Answers a pull.
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
        self.touch(now);
        if self.vote == Vote::Held {
            self.freshness.affirm(&self.own, now);
        }
        self.refresh();
        self.affirmation(now)
    }

    /// Takes the answer to a pull that was sent at `sent`.
    ///
    /// See [`State::on_pull`] for an example.
    pub fn on_ages(&mut self, now: Instant, sent: Instant, affirmation: &Affirmation) {
        self.touch(now);
        if self.covers(affirmation) {
            match affirmation.vote {
                Vote::Held => self.freshness.affirm(&affirmation.from, sent),
                Vote::Retired => self.freshness.retire(&affirmation.from),
                Vote::Lost => {}
            }
            let version = affirmation.position.map(|position| position.version);
            if version == self.in_force().map(|version| version.head.version) {
                self.freshness.merge(sent, &affirmation.ages);
            }
        }
        self.refresh();
    }

    /// Takes the last message of a peer that retires.
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
        self.touch(now);
        if affirmation.vote == Vote::Retired && self.covers(affirmation) {
            self.freshness.retire(&affirmation.from);
        }
        self.refresh();
    }

    /// Gives up the vote for good and returns the message that tells peers.
    ///
    /// See [`State::on_retire`] for an example.
    pub fn retire(&mut self, now: Instant) -> Affirmation {
        self.touch(now);
        if self.vote == Vote::Held {
            self.vote = Vote::Retired;
            self.freshness.retire(&self.own);
        }
        self.refresh();
        self.affirmation(now)
    }

    /// Takes a new incarnation after the vote was lost; a commit must make it a voter.
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
    pub fn rejoin(&mut self, now: Instant, own: Voter) {
        self.touch(now);
        if own != self.own {
            self.own = own;
            self.vote = Vote::Held;
        }
        self.refresh();
    }

    fn affirmation(&self, now: Instant) -> Affirmation {
        let position = self.newest();
        let base = position.map_or(0, |position| position.revision);
        Affirmation {
            from: self.own.clone(),
            vote: self.vote,
            position,
            pending: self
                .pending
                .iter()
                .filter(|pending| pending.prepare.base.number >= base)
                .map(|pending| pending.prepare.operation())
                .collect(),
            ages: match self.newer {
                Some(_) => Vec::new(),
                None => self.freshness.ages(now),
            },
        }
    }
}
