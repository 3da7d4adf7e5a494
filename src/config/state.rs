mod expiry;
mod learn;
mod receive;
mod successor;

use std::sync::Arc;

use successor::Successor;

use super::{
    FENCE_AFTER, FENCE_STAGGER, FRESHNESS, Freshness, HEAD_KEY, Head, Operation, PAUSE_LIMIT,
    Pending, Revision, Version, Vote, Voter, Want,
};
use crate::clock::Instant;
use crate::fleet::Digest;
use crate::platform::{Condition, Write};

/// What one instance knows about the configuration.
///
/// The caller must call any `&mut self` method, [`State::tick`] if no other, more often than once
/// per [`PAUSE_LIMIT`]; otherwise the instance loses its vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    own_voter: Voter,
    vote: Vote,
    /// Time of the latest call; if the next one is more than [`PAUSE_LIMIT`] later, the vote is
    /// lost.
    last_active: Instant,
    /// Version in force, with the version of the head row.
    in_force: Option<(u64, Version)>,
    pending: Vec<Pending>,
    /// Known head that replaces the one in force but whose document is missing.
    successor: Option<Successor>,
    /// Operations whose proposals peers have acknowledged and this instance has yet to fetch.
    missing: Vec<Operation>,
    freshness: Freshness,
    /// Cached result of `Freshness::majority_affirmed_at`.
    majority_affirmed_at: Option<Instant>,
}

impl State {
    /// Creates the state of an instance that does not know any version yet.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{State, Voter};
    ///
    /// assert!(!State::new(Voter::new("a", 1), Instant::default()).is_fresh(Instant::default()));
    /// ```
    pub fn new(own_voter: Voter, now: Instant) -> Self {
        Self {
            own_voter,
            vote: Vote::Held,
            last_active: now,
            in_force: None,
            pending: Vec::new(),
            successor: None,
            missing: Vec::new(),
            freshness: Freshness::default(),
            majority_affirmed_at: None,
        }
    }

    /// Creates a state with a version in force and a head read at `now`, for examples and tests.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::State;
    ///
    /// let state = State::example("a", &["a", "b"], Instant::default());
    /// assert!(state.is_fresh(Instant::default()));
    /// ```
    pub fn example(own_name: &str, voters: &[&str], now: Instant) -> Self {
        let content: Arc<str> = "{}".into();
        let head = Arc::new(Head {
            version: 1,
            digest: Digest::of(content.as_bytes()),
            voters: voters.iter().map(|name| Voter::new(name, 1)).collect(),
            operation: Operation(1),
            author: "example".into(),
            time: 0,
        });
        let mut state = Self::new(Voter::new(own_name, 1), now);
        state.on_head_read(now, now, &Revision { number: 1, head });
        state.on_content(now, &content);
        state
    }

    /// Tells whether work may be admitted or dispatched at `now`.
    ///
    /// See [`State::on_pull`] and [`State::on_head_read`] for examples.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.since(at) <= FRESHNESS;
        let active = now.since(self.last_active) <= PAUSE_LIMIT;
        self.in_force.is_some()
            && (self.freshness.head_read().is_some_and(recent)
                || active && self.majority_affirmed_at.is_some_and(recent))
    }

    /// Returns the versions to enforce, the one in force first; the strictest rule of all applies.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::State;
    ///
    /// let state = State::example("a", &["a"], Instant::default());
    /// assert_eq!(state.enforced().next(), state.in_force());
    /// ```
    pub fn enforced(&self) -> impl Iterator<Item = &Version> {
        let pending = self.pending.iter().map(|pending| &pending.prepare.version);
        self.in_force().into_iter().chain(pending)
    }

    /// Returns the newest version known to be in force whose document this instance has.
    ///
    /// See [`State::enforced`] for an example.
    pub fn in_force(&self) -> Option<&Version> {
        self.in_force.as_ref().map(|(_, version)| version)
    }

    /// Returns the head in force and its row version, which the next commit is based on.
    ///
    /// See [`State::on_head_read`] for an example.
    pub fn revision(&self) -> Option<Revision> {
        let (number, version) = self.in_force.as_ref()?;
        Some(Revision {
            number: *number,
            head: version.head.clone(),
        })
    }

    /// Returns the prepared versions whose result is not known.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::State;
    ///
    /// assert!(State::example("a", &["a"], Instant::default()).pending().is_empty());
    /// ```
    pub fn pending(&self) -> &[Pending] {
        &self.pending
    }

    /// Returns the newest version that is acknowledged or in force, or 0 if there is none.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::State;
    ///
    /// assert_eq!(State::example("a", &["a"], Instant::default()).newest_acknowledged(), 1);
    /// ```
    pub fn newest_acknowledged(&self) -> u64 {
        self.enforced()
            .map(|version| version.head.version)
            .max()
            .unwrap_or(0)
    }

    /// Returns the heads, documents and proposals that this instance has yet to fetch.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{State, Voter, Want};
    ///
    /// let now = Instant::default();
    /// let revision = State::example("a", &["a"], now).revision().unwrap();
    /// let mut state = State::new(Voter::new("x", 1), now);
    /// state.on_commit(now, &revision);
    /// assert_eq!(state.wants(), [Want::Content(revision.head.digest)]);
    /// ```
    pub fn wants(&self) -> Vec<Want> {
        let successor = self
            .successor
            .iter()
            .map(|successor| match &successor.head {
                Some(head) => Want::Content(head.digest),
                None => Want::Head(successor.position),
            });
        successor
            .chain(self.missing.iter().copied().map(Want::Pending))
            .collect()
    }

    /// Returns the write that fences a prepared version whose result has been unknown for too long.
    ///
    /// It rewrites the head row unchanged. The new row version makes a write on the same base fail
    /// if it is still in flight, and a head read afterwards shows which of the two was first.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::State;
    ///
    /// assert!(State::example("a", &["a"], Instant::default()).fence(Instant::default()).is_none());
    /// ```
    pub fn fence(&self, now: Instant) -> Option<Write> {
        let newest_revision = self.newest_position()?.revision;
        let voters = &self.in_force()?.head.voters;
        let position = voters
            .iter()
            .position(|voter| *voter == self.own_voter)
            .unwrap_or(voters.len());
        let delay = FENCE_AFTER + FENCE_STAGGER * u32::try_from(position).unwrap_or(u32::MAX);
        let overdue = self.pending.iter().find(|pending| {
            pending.prepare.base.number == newest_revision
                && now.since(pending.acknowledged_at) >= delay
        })?;
        let base = &overdue.prepare.base;
        let condition = Condition::Version(base.number);
        Some(Write::put(HEAD_KEY, condition, &base.head.to_json()))
    }

    /// Tells whether a voter is known to have retired.
    ///
    /// See [`State::on_retire`] for an example.
    pub fn is_retired(&self, voter: &Voter) -> bool {
        self.freshness.is_retired(voter)
    }

    /// Returns whether this instance may acknowledge and affirm.
    ///
    /// See [`State::tick`] for an example.
    pub fn vote(&self) -> Vote {
        self.vote
    }
}
