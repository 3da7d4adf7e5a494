//! Updates of the known versions and of the evidence for them.

use std::sync::Arc;
use std::time::Duration;

use super::State;
use super::successor::Successor;
use crate::clock::Instant;
use crate::config::{
    Affirmation, Head, MAX_PENDING, Operation, PAUSE_LIMIT, Position, Version, Vote, Voter,
};

impl State {
    /// Returns the row version of the head in force.
    pub(super) fn revision_number(&self) -> Option<u64> {
        self.in_force.as_ref().map(|(number, _)| *number)
    }

    /// Returns the position of the newest known head, with or without its document.
    pub(super) fn newest_position(&self) -> Option<Position> {
        let successor = self.successor.as_ref().map(|successor| successor.position);
        successor.or_else(|| self.revision().map(|revision| revision.position()))
    }

    /// Tells whether all versions that the sender may have acknowledged are settled or enforced
    /// here.
    ///
    /// Records the heads and operations that are missing, so that they are fetched.
    pub(super) fn covers(&mut self, affirmation: &Affirmation) -> bool {
        let Some(position) = affirmation.position else {
            return self.in_force.is_some() && affirmation.pending.is_empty();
        };
        self.learn(position, None);
        let Some(number) = self.revision_number().filter(|_| self.successor.is_none()) else {
            return false;
        };
        if position.revision < number {
            return true;
        }
        let is_known = |operation: &Operation| {
            self.pending
                .iter()
                .any(|p| p.prepare.operation() == *operation)
        };
        let missing: Vec<Operation> = affirmation
            .pending
            .iter()
            .filter(|operation| !is_known(operation))
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

    /// Applies the information that `position` is or was the position of the head.
    pub(super) fn learn(&mut self, position: Position, head: Option<&Arc<Head>>) {
        let newest = self.newest_position().map_or(0, |newest| newest.revision);
        if position.revision < newest || Some(position.revision) == self.revision_number() {
            return;
        }
        if let Some(version) = self.find_version(position, head) {
            self.adopt(position.revision, version);
        } else if position.revision > newest {
            self.successor = Some(Successor {
                position,
                head: head.cloned(),
                head_read: self
                    .successor
                    .as_ref()
                    .and_then(|successor| successor.head_read),
            });
        } else if let (Some(successor), Some(head)) = (&mut self.successor, head) {
            successor.head.get_or_insert_with(|| head.clone());
        }
    }

    /// Returns the version at `position` if it is enforced, or an enforced one has its document.
    fn find_version(&self, position: Position, head: Option<&Arc<Head>>) -> Option<Version> {
        let same_operation = self
            .enforced()
            .find(|version| version.head.operation == position.operation);
        same_operation.cloned().or_else(|| {
            let head = head?;
            let same_document = self
                .enforced()
                .find(|version| version.head.digest == head.digest)?;
            Some(Version {
                head: head.clone(),
                content: same_document.content.clone(),
            })
        })
    }

    /// Puts a version in force and drops the proposals on older heads, whose result it settles.
    pub(super) fn adopt(&mut self, number: u64, version: Version) {
        self.in_force = Some((number, version));
        self.pending
            .retain(|pending| pending.prepare.base.number >= number);
        self.missing.clear();
        if let Some(successor) = self
            .successor
            .take_if(|successor| successor.position.revision <= number)
            && let Some(started) = successor.head_read
        {
            self.freshness.record_head_read(started);
        }
        self.update_groups();
    }

    /// Passes the voter lists of the enforced versions to the evidence.
    pub(super) fn update_groups(&mut self) {
        let heads: Vec<Arc<Head>> = self
            .enforced()
            .map(|version| version.head.clone())
            .collect();
        let groups: Vec<&[Voter]> = heads.iter().map(|head| &*head.voters).collect();
        self.freshness.set_groups(&groups);
    }

    /// Records a call at `now`; the vote is lost if the previous one was more than [`PAUSE_LIMIT`]
    /// ago.
    pub(super) fn note_activity(&mut self, now: Instant) {
        if self.vote == Vote::Held && now.since(self.last_active) > PAUSE_LIMIT {
            self.vote = Vote::Lost;
        }
        self.last_active = self.last_active.max(now);
    }

    /// Recomputes the time at or after which a majority has affirmed.
    pub(super) fn update_majority(&mut self) {
        // This instance's own affirmation is valid at any time. Once a newer head is known, the
        // affirmations of other voters no longer count, so the evidence expires with theirs.
        let end_of_time = Instant::from_start(Duration::MAX);
        let own_vote = (self.vote == Vote::Held).then_some((&self.own_voter, end_of_time));
        self.majority_affirmed_at = self.freshness.majority_affirmed_at(own_vote);
    }
}
