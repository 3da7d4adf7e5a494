use std::sync::Arc;

use super::{Engine, Worker};
use crate::batch::{Member, MemberChanges, Profile, WorkerKey};
use crate::collections::{Map, Set};

/// Maximum number of changes that are written with one renewal. A transaction of the store takes
/// 100 rows, one of which is the leader row.
const MAX_CHANGES: usize = 90;

/// Workers recorded in the store for the next leader, which waits for their answers.
///
/// The list in which workers register cannot replace them: a registration expires while the store
/// is away, although the worker runs on, and an entry of another writer names no worker.
#[derive(Debug, Default)]
pub(super) struct Members {
    entries: Map<Arc<str>, Entry>,
    /// Changes that were taken for the next renewal.
    pending: MemberChanges,
}

/// A worker whose row exists in the store, or may exist.
#[derive(Debug)]
struct Entry {
    member: Member,
    /// Whether the row is certainly stored as it is here.
    stored: bool,
}

impl Members {
    /// Returns whether the store certainly holds the row of a worker.
    fn contains(&self, profile: &Profile) -> bool {
        self.entries
            .get(&profile.id)
            .is_some_and(|entry| entry.stored && entry.member.describes(profile))
    }

    /// Returns whether the store may hold a row of a worker, of any of its processes.
    pub(super) fn has_row(&self, id: &Arc<str>) -> bool {
        self.entries.contains_key(id)
    }

    fn restore(&mut self, members: &[Member]) {
        let stored = members.iter().map(|member| {
            let entry = Entry {
                member: member.clone(),
                stored: true,
            };
            (member.worker.clone(), entry)
        });
        self.entries.extend(stored);
    }

    /// Takes the changes by which the store will hold those of `workers` that have answered, and of
    /// the others only those in `kept`. A row that exists stays as long as its worker is known.
    fn take_changes<'a>(
        &mut self,
        workers: impl Iterator<Item = &'a Worker>,
        kept: impl Fn(&Arc<str>) -> bool,
    ) -> MemberChanges {
        let mut changes = MemberChanges::default();
        let mut wanted: Set<&Arc<str>> = Set::default();
        for worker in workers {
            wanted.insert(&worker.profile.id);
            let is_new = worker.answered_at.is_some() && !self.contains(&worker.profile);
            if is_new && changes.added.len() < MAX_CHANGES {
                changes.added.push(Member::from(&worker.profile));
            }
        }
        let outdated = self.entries.keys();
        let outdated = outdated.filter(|id| !wanted.contains(id) && !kept(id));
        changes
            .removed
            .extend(outdated.take(MAX_CHANGES - changes.added.len()).cloned());
        for member in &changes.added {
            let entry = Entry {
                member: member.clone(),
                stored: false,
            };
            self.entries.insert(member.worker.clone(), entry);
        }
        for id in &changes.removed {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.stored = false;
            }
        }
        self.pending = changes.clone();
        changes
    }

    /// Records that the changes taken last are stored, and returns them.
    fn confirm(&mut self) -> MemberChanges {
        let changes = std::mem::take(&mut self.pending);
        for member in &changes.added {
            if let Some(entry) = self.entries.get_mut(&member.worker) {
                entry.stored = true;
            }
        }
        for id in &changes.removed {
            self.entries.remove(id);
        }
        changes
    }
}

impl Engine {
    /// Takes the members that the previous leader has stored. Those that are not registered are
    /// polled, but get no starts.
    pub fn restore_members(&mut self, members: Vec<Member>) {
        self.members.restore(&members);
        for member in members {
            if let Some(&key) = self.worker_ids.get(&member.worker) {
                self.update_membership(key);
            } else {
                let key = self.update_worker(member.into());
                self.workers[key].delisted = true;
            }
        }
    }

    /// Takes the changes of the stored members for the next renewal. They count as stored once
    /// [`Engine::record_renewal`] is called.
    pub fn take_member_changes(&mut self) -> MemberChanges {
        debug_assert!(
            self.workers
                .values()
                .all(|worker| worker.is_member == self.members.contains(&worker.profile))
        );
        let uncontacted = &self.uncontacted;
        self.members
            .take_changes(self.workers.values(), |id| uncontacted.contains_key(id))
    }

    /// Records that the changes taken last are stored.
    pub(super) fn confirm_members(&mut self) {
        for member in self.members.confirm().added {
            if let Some(&key) = self.worker_ids.get(&member.worker) {
                self.update_membership(key);
            }
        }
    }

    /// Updates whether a worker is a member, after a change of its profile or of its row. Placement
    /// asks this of every worker for every task, so the answer is kept with the worker.
    pub(super) fn update_membership(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        worker.is_member = self.members.contains(&worker.profile);
    }

    /// Returns whether a registered worker that has answered is not stored as a member, so that it
    /// gets no starts.
    pub fn has_unstored_members(&self) -> bool {
        self.workers.values().any(must_be_stored)
    }

    /// Returns whether that holds for one worker.
    pub fn is_unstored_member(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(must_be_stored)
    }
}

fn must_be_stored(worker: &Worker) -> bool {
    !worker.delisted && worker.answered_at.is_some() && !worker.is_member
}
