mod learn;
mod newer;
mod receive;
mod until;

use std::sync::Arc;

use newer::Newer;

use super::{
    FENCE_AFTER, FENCE_STEP, FRESHNESS, Freshness, HEAD_KEY, Head, Operation, PAUSE_LIMIT, Pending,
    Revision, Version, Vote, Voter, Want,
};
use crate::clock::Instant;
use crate::fleet::Digest;
use crate::platform::{Condition, Write};

/// What one instance knows of the configuration.
///
/// Something must call it more often than once per [`PAUSE_LIMIT`]; [`State::tick`] will do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    own: Voter,
    vote: Vote,
    touched: Instant,
    in_force: Option<(u64, Version)>,
    pending: Vec<Pending>,
    newer: Option<Newer>,
    missing: Vec<Operation>,
    freshness: Freshness,
    /// Cached result of `Freshness::majority`.
    majority: Option<Instant>,
}

impl State {
    /// Makes the state of an instance that knows nothing yet.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{State, Voter};
    ///
    /// assert!(!State::new(Voter::new("a", 1), Instant::default()).is_fresh(Instant::default()));
    /// ```
    pub fn new(own: Voter, now: Instant) -> Self {
        Self {
            own,
            vote: Vote::Held,
            touched: now,
            in_force: None,
            pending: Vec::new(),
            newer: None,
            missing: Vec::new(),
            freshness: Freshness::default(),
            majority: None,
        }
    }

    /// Makes a state with a version in force and a head read at `now`, for examples and tests.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::State;
    ///
    /// let state = State::example("a", &["a", "b"], Instant::default());
    /// assert!(state.is_fresh(Instant::default()));
    /// ```
    pub fn example(own: &str, voters: &[&str], now: Instant) -> Self {
        let content: Arc<str> = "{}".into();
        let head = Arc::new(Head {
            version: 1,
            digest: Digest::of(content.as_bytes()),
            voters: voters.iter().map(|name| Voter::new(name, 1)).collect(),
            operation: Operation(1),
            author: "example".into(),
            time: 0,
        });
        let mut out = Self::new(Voter::new(own, 1), now);
        out.on_head_read(now, now, &Revision { number: 1, head });
        out.on_content(now, &content);
        out
    }

    /// Tells whether work may be admitted, or dispatched, at `now`.
    ///
    /// See [`State::on_pull`] and [`State::on_head_read`] for examples.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.since(at) <= FRESHNESS;
        let runs = now.since(self.touched) <= PAUSE_LIMIT;
        self.in_force.is_some()
            && (self.freshness.head_read().is_some_and(recent)
                || runs && self.majority.is_some_and(recent))
    }

    /// Returns the versions of which the strictest rule applies, the one in force first.
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

    /// Returns the version in force as far as known.
    ///
    /// See [`State::enforced`] for an example.
    pub fn in_force(&self) -> Option<&Version> {
        self.in_force.as_ref().map(|(_, version)| version)
    }

    /// Returns the head in force with its row version, the base of the next commit.
    ///
    /// See [`State::on_head_read`] for an example.
    pub fn revision(&self) -> Option<Revision> {
        let (number, version) = self.in_force.as_ref()?;
        Some(Revision {
            number: *number,
            head: version.head.clone(),
        })
    }

    /// Returns the prepared versions without a known result.
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

    /// Returns the newest version acknowledged or in force, 0 when there is none.
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

    /// Returns what to fetch.
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
        let newer = self.newer.iter().map(|newer| match &newer.head {
            Some(head) => Want::Content(head.digest),
            None => Want::Head(newer.position),
        });
        newer
            .chain(self.missing.iter().copied().map(Want::Pending))
            .collect()
    }

    /// Returns the write that settles a prepared version that has waited too long.
    ///
    /// It rewrites the head unchanged, so that a write on the same base that is still under way
    /// fails. A head read shows afterwards which of the two came first.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::State;
    ///
    /// assert!(State::example("a", &["a"], Instant::default()).fence(Instant::default()).is_none());
    /// ```
    pub fn fence(&self, now: Instant) -> Option<Write> {
        let newest = self.newest()?.revision;
        let voters = &self.in_force()?.head.voters;
        let place = voters
            .iter()
            .position(|voter| *voter == self.own)
            .unwrap_or(voters.len());
        let delay = FENCE_AFTER + FENCE_STEP * u32::try_from(place).unwrap_or(u32::MAX);
        let overdue = self.pending.iter().find(|pending| {
            pending.prepare.base.number == newest && now.since(pending.acknowledged) >= delay
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
