mod until;

use std::sync::Arc;

use super::{
    Ack, Affirmation, FENCE_AFTER, FENCE_STEP, FRESHNESS, Freshness, HEAD_KEY, Head, MAX_PENDING,
    Operation, PAUSE_LIMIT, Pending, Position, Prepare, Revision, Version, Vote, Voter, Want,
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

/// A newer head than the one in force, whose document is not here yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Newer {
    position: Position,
    head: Option<Arc<Head>>,
    learnt: Instant,
    head_read: Option<Instant>,
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
        self.learn(now, revision.position(), Some(&revision.head));
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
        self.learn(now, revision.position(), Some(&revision.head));
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
        self.learn(now, prepare.base.position(), Some(&prepare.base.head));
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
        if self.covers(now, affirmation) {
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
        if affirmation.vote == Vote::Retired && self.covers(now, affirmation) {
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

    fn number(&self) -> Option<u64> {
        self.in_force.as_ref().map(|(number, _)| *number)
    }

    /// Returns the newest head known, with or without its document.
    fn newest(&self) -> Option<Position> {
        let newer = self.newer.as_ref().map(|newer| newer.position);
        newer.or_else(|| self.revision().map(|revision| revision.position()))
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

    /// Tells whether all that a statement may have acknowledged is settled or enforced here.
    fn covers(&mut self, now: Instant, affirmation: &Affirmation) -> bool {
        let Some(position) = affirmation.position else {
            return self.in_force.is_some() && affirmation.pending.is_empty();
        };
        self.learn(now, position, None);
        let Some(number) = self.number().filter(|_| self.newer.is_none()) else {
            return false;
        };
        if position.revision < number {
            return true;
        }
        let known = |operation: &Operation| {
            self.pending
                .iter()
                .any(|p| p.prepare.operation() == *operation)
        };
        let missing: Vec<Operation> = affirmation
            .pending
            .iter()
            .filter(|operation| !known(operation))
            .copied()
            .collect();
        let covered = missing.is_empty();
        for operation in missing {
            if self.missing.len() < MAX_PENDING && !self.missing.contains(&operation) {
                self.missing.push(operation);
            }
        }
        covered
    }

    /// Takes the news that `position` was the head at some time.
    fn learn(&mut self, now: Instant, position: Position, head: Option<&Arc<Head>>) {
        let newest = self.newest().map_or(0, |newest| newest.revision);
        if position.revision < newest || Some(position.revision) == self.number() {
            return;
        }
        if let Some(version) = self.known(position, head) {
            self.adopt(position.revision, version);
        } else if position.revision > newest {
            self.newer = Some(Newer {
                position,
                head: head.cloned(),
                // Evidence must not grow from the moment at which the version here is outdated.
                learnt: self.newer.as_ref().map_or(now, |newer| newer.learnt),
                head_read: self.newer.as_ref().and_then(|newer| newer.head_read),
            });
        } else if let (Some(newer), Some(head)) = (&mut self.newer, head) {
            newer.head.get_or_insert_with(|| head.clone());
        }
    }

    /// Finds the version at `position` among those held here.
    fn known(&self, position: Position, head: Option<&Arc<Head>>) -> Option<Version> {
        let same = self
            .enforced()
            .find(|version| version.head.operation == position.operation);
        same.cloned().or_else(|| {
            let head = head?;
            let content = self
                .enforced()
                .find(|version| version.head.digest == head.digest)?;
            Some(Version {
                head: head.clone(),
                content: content.content.clone(),
            })
        })
    }

    /// Puts a version in force and drops the proposals that it settles.
    fn adopt(&mut self, number: u64, version: Version) {
        self.in_force = Some((number, version));
        self.pending
            .retain(|pending| pending.prepare.base.number >= number);
        self.missing.clear();
        if let Some(newer) = self
            .newer
            .take_if(|newer| newer.position.revision <= number)
            && let Some(started) = newer.head_read
        {
            self.freshness.read(started);
        }
        self.regroup();
    }

    fn regroup(&mut self) {
        let lists: Vec<Arc<Head>> = self
            .enforced()
            .map(|version| version.head.clone())
            .collect();
        let groups: Vec<&[Voter]> = lists.iter().map(|head| &*head.voters).collect();
        self.freshness.regroup(&groups);
    }

    fn touch(&mut self, now: Instant) {
        if self.vote == Vote::Held && now.since(self.touched) > PAUSE_LIMIT {
            self.vote = Vote::Lost;
        }
        self.touched = self.touched.max(now);
    }

    fn refresh(&mut self) {
        let always = Instant::from_start(std::time::Duration::MAX);
        let until = self.newer.as_ref().map_or(always, |newer| newer.learnt);
        let own = (self.vote == Vote::Held).then_some((&self.own, until));
        self.majority = self.freshness.majority(own);
    }
}
