use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::Shared;
use crate::clock;
use crate::config::{Ack, Commit, HEAD_KEY, Origin, Outcome, Reason, Revision};
use crate::document::Problem;
use crate::event::Event;
use crate::fleet;
use crate::wire::Body;

/// Maximum wait for the acknowledgements of the voters to a proposal.
const ACK_TIMEOUT: Duration = Duration::from_millis(800);

/// Result of a request to put a document in force.
#[derive(Clone, Debug)]
pub enum Applied {
    /// The document is invalid.
    Invalid(Vec<Problem>),
    /// The commit ended with this outcome.
    Committed(Outcome),
}

impl Shared {
    /// Puts a document in force as the successor of version `base`, or of the newest when `None`.
    pub async fn apply(&self, content: &str, base: Option<u64>, author: &str) -> Applied {
        self.apply_as(content, base, &self.origin(author)).await
    }

    /// Like [`Shared::apply`], with the author and the operation of `origin`.
    pub async fn apply_as(&self, content: &str, base: Option<u64>, origin: &Origin) -> Applied {
        if let Err(problems) = fleet::parse("fleet", content) {
            return Applied::Invalid(problems);
        }
        let Some(revision) = self.control.read(|state| state.revision()) else {
            return Applied::Committed(self.commit_first(content, base, origin).await);
        };
        if base.is_some_and(|base| base != revision.head.version) {
            return Applied::Committed(Outcome::Conflict(revision));
        }
        Applied::Committed(
            self.commit(Commit::document(revision, content, origin))
                .await,
        )
    }

    /// Returns the origin of a change by `author`, with a new operation.
    pub fn origin(&self, author: &str) -> Origin {
        let time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Origin::new(
            self.next_operation(),
            author,
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        )
    }

    /// Writes the first head row, unless the store has one that this instance has not read yet.
    async fn commit_first(&self, content: &str, base: Option<u64>, origin: &Origin) -> Outcome {
        let table = &*self.platform.table;
        match table.read(HEAD_KEY.into()).await {
            Ok(None) if base.is_none_or(|base| base == 0) => {}
            Ok(Some(row)) => {
                return match Revision::from_row(&row) {
                    Ok(revision) => Outcome::Conflict(revision),
                    Err(error) => Outcome::Refused(Reason::Malformed(error.to_string().into())),
                };
            }
            Ok(None) => {
                return Outcome::Refused(Reason::Unavailable("the store has no version".into()));
            }
            Err(error) => return Outcome::Refused(Reason::Unavailable(error.to_string().into())),
        }
        let digest = fleet::Digest::of(content.as_bytes()).to_string();
        let stored = self
            .platform
            .objects
            .put(digest.into(), content.to_owned().into())
            .await;
        if let Err(error) = stored {
            return Outcome::Refused(Reason::Unavailable(error.to_string().into()));
        }
        let outcome = Commit::first(table, content, self.control.own().clone(), origin).await;
        if let Outcome::Accepted(revision) = &outcome {
            self.apply_commit(revision, &content.into());
        }
        outcome
    }

    /// Runs one commit: stores the document, sends the proposal, waits for the acknowledgements of
    /// a majority, writes the head row and tells the peers.
    pub(super) async fn commit(&self, mut commit: Commit) -> Outcome {
        if let Err(error) = commit.store(&*self.platform.objects).await {
            return Outcome::Refused(Reason::Unavailable(error.to_string().into()));
        }
        let has_left = |voter: &_| {
            self.control.read(|state| state.is_retired(voter))
                || self
                    .control
                    .with_presence(|presence| presence.has_ended(voter))
        };
        let own = self.control.prepare(commit.prepare(), clock::now());
        commit.on_ack(&own);
        self.collect_acks(&mut commit).await;
        if !commit.has_quorum(has_left) {
            let refusal = commit.refusal(has_left);
            self.abort(&commit);
            return self
                .newer_revision(&commit)
                .map_or(refusal, Outcome::Conflict);
        }
        let content = commit.prepare().version.content.clone();
        let outcome = commit.settle(&*self.platform.table).await;
        match &outcome {
            Outcome::Accepted(revision) => self.apply_commit(revision, &content),
            Outcome::Conflict(revision) => {
                let now = clock::now();
                self.control
                    .act(now, |state| state.on_commit(now, revision));
                self.hub.wants().notify_one();
            }
            Outcome::Refused(_) => self.abort(&commit),
            Outcome::Unknown(_) => {}
        }
        let head = &commit.prepare().version.head;
        let event = Event::Commit {
            version: head.version,
            author: head.author.clone(),
            outcome: outcome.to_string().into(),
        };
        self.events().add(clock::now(), event);
        log::info!(event = "commit", version = commit.prepare().version.head.version,
            outcome:? = outcome; "");
        outcome
    }

    /// Returns the revision in force if its version has replaced the base of `commit`. Voters do not
    /// acknowledge a proposal on such a base, since another change was first.
    fn newer_revision(&self, commit: &Commit) -> Option<Revision> {
        let base = commit.prepare().base.head.version;
        let revision = self.control.read(|state| state.revision());
        revision.filter(|revision| revision.head.version > base)
    }

    /// Sends the proposal to all peers and adds their acknowledgements to `commit`, until every
    /// peer has answered or its time is up.
    async fn collect_acks(&self, commit: &mut Commit) {
        let body = Body::Prepare(commit.prepare().into());
        let (sender, mut acks) = tokio::sync::mpsc::channel(64);
        for link in self.hub.links() {
            let (body, sender) = (body.clone(), sender.clone());
            tokio::spawn(async move {
                let reply = link.ask(body, ACK_TIMEOUT).await;
                if let Some(Body::Ack(ack)) = reply {
                    drop(sender.send(ack).await);
                }
            });
        }
        drop(sender);
        while let Some(ack) = acks.recv().await {
            if let Ok(ack) = Ack::try_from(ack) {
                commit.on_ack(&ack);
            }
        }
    }

    fn apply_commit(&self, revision: &Revision, content: &Arc<str>) {
        let now = clock::now();
        self.control.act(now, |state| {
            state.on_commit(now, revision);
            state.on_content(now, content);
        });
        self.hub.tell_all(&Body::Commit(revision.into()));
    }

    fn abort(&self, commit: &Commit) {
        if let Some(operation) = commit.abort() {
            let now = clock::now();
            self.control
                .act(now, |state| state.on_abort(now, operation));
            self.hub.tell_all(&Body::Abort(operation.to_string()));
        }
    }
}
