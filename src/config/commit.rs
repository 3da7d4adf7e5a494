use std::sync::Arc;

use bytes::Bytes;

use super::write_head::write_head;
use super::{Ack, Head, Operation, Origin, Outcome, Prepare, Reason, Revision, Version, Voter};
use crate::fleet::Digest;
use crate::platform::{Error, Objects, Table};

/// One attempt to put a version in force.
///
/// The committer stores the document with [`Commit::store`], sends [`Commit::prepare`] to all entry
/// instances and passes their replies to [`Commit::on_ack`]. It calls [`Commit::settle`] once
/// [`Commit::has_quorum`] holds; otherwise it sends the operation that [`Commit::abort`] returns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Commit {
    prepare: Prepare,
    acknowledged: Vec<Voter>,
    /// Whether a head write was sent that may have taken effect or may still do so.
    may_take_effect: bool,
}

impl Commit {
    /// Proposes a version with another document and the voters of `base`.
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

    /// Proposes a version with voters added and removed; `content` is the document in force.
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
            may_take_effect: false,
        }
    }

    /// Returns the proposal to send to all entry instances.
    ///
    /// See [`Commit::document`] for an example.
    pub fn prepare(&self) -> &Prepare {
        &self.prepare
    }

    /// Counts the reply of a voter of the base once; duplicates and replies of other instances are
    /// ignored.
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

    /// Tells whether enough voters acknowledged the proposal.
    ///
    /// `inactive` tells whether a voter has retired or is proven to have ended. Such a voter sends
    /// no further affirmation, so its acknowledgement is not needed.
    ///
    /// See [`Commit::document`] for an example.
    pub fn has_quorum(&self, inactive: impl Fn(&Voter) -> bool) -> bool {
        let (acknowledged, needed) = self.count_acks(inactive);
        acknowledged >= needed
    }

    /// Returns how many voters acknowledged and how many have to.
    fn count_acks(&self, inactive: impl Fn(&Voter) -> bool) -> (usize, usize) {
        let voters = &self.prepare.base.head.voters;
        let remaining = voters
            .iter()
            .filter(|voter| self.acknowledged.contains(voter) || !inactive(voter))
            .count();
        // Without a remaining voter no instance can affirm, so none has to acknowledge.
        let needed = if remaining == 0 { 0 } else { remaining / 2 + 1 };
        (self.acknowledged.len(), needed)
    }

    /// Returns the outcome to report when too few voters acknowledged.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Commit, Operation, Origin, Outcome, State};
    ///
    /// let base = State::example("a", &["a"], Instant::default()).revision().unwrap();
    /// let commit = Commit::document(base, "[]", &Origin::new(Operation(2), "ana", 0));
    /// assert!(matches!(commit.refusal(|_| false), Outcome::Refused(_)));
    /// ```
    pub fn refusal(&self, inactive: impl Fn(&Voter) -> bool) -> Outcome {
        let (acknowledged, needed) = self.count_acks(inactive);
        Outcome::Refused(Reason::NoMajority {
            acknowledged,
            needed,
        })
    }

    /// Returns the operation to abort, or `None` if a head write was sent that may take effect.
    ///
    /// After `Some`, the caller must drop the commit, since instances forget an aborted proposal.
    /// See [`Commit::document`] for an example.
    pub fn abort(&self) -> Option<Operation> {
        (!self.may_take_effect).then(|| self.prepare.operation())
    }

    /// Stores the document in the object store under its digest.
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

    /// Writes the head row and the history row and determines the outcome.
    ///
    /// Must be called only with a quorum. Retrying after a lost reply is safe, since the head write
    /// is conditional on the same base each time and the history row must not exist.
    pub async fn settle(&mut self, table: &dyn Table) -> Outcome {
        // Set before the write, so that it stays set if the caller drops this future.
        self.may_take_effect = true;
        let base = self.prepare.base.number;
        let outcome = write_head(table, &self.prepare.version.head, base).await;
        self.may_take_effect = !matches!(outcome, Outcome::Refused(Reason::Unavailable(_)));
        outcome
    }

    /// Writes the first head of an empty store, with `voter` as the only voter.
    ///
    /// No acknowledgement is needed, since no instance admits work before the first head exists.
    pub async fn first(table: &dyn Table, content: &str, voter: Voter, origin: &Origin) -> Outcome {
        let head = Head::first(Digest::of(content.as_bytes()), voter, origin);
        write_head(table, &Arc::new(head), 0).await
    }
}
