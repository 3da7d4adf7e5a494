use std::sync::Arc;

use bytes::Bytes;

use super::settle::settle;
use super::{Ack, Head, Operation, Origin, Outcome, Prepare, Reason, Revision, Version, Voter};
use crate::fleet::Digest;
use crate::platform::{Error, Objects, Table};

/// One attempt to put a version in force.
///
/// Store the document, send [`Commit::prepare`], feed the answers to [`Commit::on_ack`]; with
/// [`Commit::has_quorum`] call [`Commit::settle`], without it send [`Commit::abort`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Commit {
    prepare: Prepare,
    acknowledged: Vec<Voter>,
    sent: bool,
}

impl Commit {
    /// Proposes another document.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Commit, Operation, Origin, State};
    ///
    /// let mut state = State::example("a", &["a"], Instant::default());
    /// let base = state.revision().unwrap();
    /// let mut commit = Commit::document(base, "[]", &Origin::new(Operation(2), "ana", 0));
    /// let ack = state.on_prepare(Instant::default(), commit.prepare());
    /// commit.on_ack(&ack);
    /// assert!(commit.has_quorum(|_| false));
    /// assert_eq!(commit.abort(), Some(Operation(2)));
    /// ```
    pub fn document(base: Revision, content: &str, origin: &Origin) -> Self {
        let head = base
            .head
            .with_digest(Digest::of(content.as_bytes()), origin);
        Self::new(base, head, content.into())
    }

    /// Proposes to add and remove voters; `content` is the document in force.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Commit, Operation, Origin, State, Voter};
    ///
    /// let state = State::example("a", &["a"], Instant::default());
    /// let base = state.revision().unwrap();
    /// let content = state.in_force().unwrap().content.clone();
    /// let origin = Origin::new(Operation(2), "b", 0);
    /// let commit = Commit::voters(base, content, &[Voter::new("b", 1)], &[], &origin);
    /// assert_eq!(commit.prepare().version.head.voters.len(), 2);
    /// ```
    pub fn voters(
        base: Revision,
        content: Arc<str>,
        add: &[Voter],
        remove: &[Voter],
        origin: &Origin,
    ) -> Self {
        let head = base.head.with_voters(add, remove, origin);
        Self::new(base, head, content)
    }

    fn new(base: Revision, head: Head, content: Arc<str>) -> Self {
        let head = Arc::new(head);
        Self {
            prepare: Prepare {
                base,
                version: Version { head, content },
            },
            acknowledged: Vec::new(),
            sent: false,
        }
    }

    /// Returns the message for all entry instances.
    ///
    /// See [`Commit::document`] for an example.
    pub fn prepare(&self) -> &Prepare {
        &self.prepare
    }

    /// Counts an answer; duplicates and answers of instances that are no voters count nothing.
    ///
    /// See [`Commit::document`] for an example.
    pub fn on_ack(&mut self, ack: &Ack) {
        if let Ack::Acknowledged(voter) = ack
            && self.prepare.base.head.voters.contains(voter)
            && !self.acknowledged.contains(voter)
        {
            self.acknowledged.push(voter.clone());
        }
    }

    /// Tells whether enough voters acknowledged.
    ///
    /// `gone` tells which voters have retired or are proven to have ended: they affirm nothing
    /// after now, so their acknowledgement is not needed.
    ///
    /// See [`Commit::document`] for an example.
    pub fn has_quorum(&self, gone: impl Fn(&Voter) -> bool) -> bool {
        let (acknowledged, needed) = self.count(gone);
        acknowledged >= needed
    }

    fn count(&self, gone: impl Fn(&Voter) -> bool) -> (usize, usize) {
        let voters = &self.prepare.base.head.voters;
        let remaining = voters
            .iter()
            .filter(|voter| self.acknowledged.contains(voter) || !gone(voter))
            .count();
        // With no voter remaining nobody can affirm, so nobody has to acknowledge.
        let needed = if remaining == 0 { 0 } else { remaining / 2 + 1 };
        (self.acknowledged.len(), needed)
    }

    /// Returns the refusal when too few voters acknowledged.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Commit, Operation, Origin, Outcome, State};
    ///
    /// let base = State::example("a", &["a"], Instant::default()).revision().unwrap();
    /// let commit = Commit::document(base, "[]", &Origin::new(Operation(2), "ana", 0));
    /// assert!(matches!(commit.refusal(|_| false), Outcome::Refused(_)));
    /// ```
    pub fn refusal(&self, gone: impl Fn(&Voter) -> bool) -> Outcome {
        let (acknowledged, needed) = self.count(gone);
        Outcome::Refused(Reason::NoMajority {
            acknowledged,
            needed,
        })
    }

    /// Returns the operation to abort, or `None` once a write was sent that may take effect.
    ///
    /// The caller must drop the commit then. See [`Commit::document`] for an example.
    pub fn abort(&self) -> Option<Operation> {
        (!self.sent).then(|| self.prepare.operation())
    }

    /// Stores the document under its digest.
    ///
    /// # Errors
    ///
    /// Returns the error of the object store.
    pub async fn store(&self, objects: &dyn Objects) -> Result<(), Error> {
        let version = &self.prepare.version;
        let content = Bytes::copy_from_slice(version.content.as_bytes());
        objects
            .put(version.head.digest.to_string().into(), content)
            .await
    }

    /// Writes head and history and finds out what came of it.
    ///
    /// Call it only with a quorum. Writing again after a lost answer is harmless, since both
    /// writes are conditional on the same base.
    pub async fn settle(&mut self, table: &dyn Table) -> Outcome {
        // Stays set when the caller drops this future halfway.
        self.sent = true;
        let base = self.prepare.base.number;
        let outcome = settle(table, &self.prepare.version.head, base).await;
        self.sent = !matches!(outcome, Outcome::Refused(Reason::Unavailable(_)));
        outcome
    }

    /// Writes the first head of an empty store, with `voter` as the only voter.
    ///
    /// Needs no acknowledgement: without a head no instance admits work.
    pub async fn first(table: &dyn Table, content: &str, voter: Voter, origin: &Origin) -> Outcome {
        let head = Head::first(Digest::of(content.as_bytes()), voter, origin);
        settle(table, &Arc::new(head), 0).await
    }
}
