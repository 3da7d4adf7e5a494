//! How an instance comes to know of versions and of evidence for them.

use std::sync::Arc;
use std::time::Duration;

use super::State;
use super::newer::Newer;
use crate::clock::Instant;
use crate::config::{
    Affirmation, Head, MAX_PENDING, Operation, PAUSE_LIMIT, Position, Version, Vote, Voter,
};

impl State {
    pub(super) fn number(&self) -> Option<u64> {
        self.in_force.as_ref().map(|(number, _)| *number)
    }

    /// Returns the newest head known, with or without its document.
    pub(super) fn newest(&self) -> Option<Position> {
        let newer = self.newer.as_ref().map(|newer| newer.position);
        newer.or_else(|| self.revision().map(|revision| revision.position()))
    }

    /// Tells whether all that a statement may have acknowledged is settled or enforced here.
    pub(super) fn covers(&mut self, affirmation: &Affirmation) -> bool {
        let Some(position) = affirmation.position else {
            return self.in_force.is_some() && affirmation.pending.is_empty();
        };
        self.learn(position, None);
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
    pub(super) fn learn(&mut self, position: Position, head: Option<&Arc<Head>>) {
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
    pub(super) fn adopt(&mut self, number: u64, version: Version) {
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

    pub(super) fn regroup(&mut self) {
        let lists: Vec<Arc<Head>> = self
            .enforced()
            .map(|version| version.head.clone())
            .collect();
        let groups: Vec<&[Voter]> = lists.iter().map(|head| &*head.voters).collect();
        self.freshness.regroup(&groups);
    }

    pub(super) fn touch(&mut self, now: Instant) {
        if self.vote == Vote::Held && now.since(self.touched) > PAUSE_LIMIT {
            self.vote = Vote::Lost;
        }
        self.touched = self.touched.max(now);
    }

    pub(super) fn refresh(&mut self) {
        // Its own statement is true at any time; if a newer head is known, those of others no
        // longer cover, so that the evidence ends with them.
        let always = Instant::from_start(Duration::MAX);
        let own = (self.vote == Vote::Held).then_some((&self.own, always));
        self.majority = self.freshness.majority(own);
    }
}
