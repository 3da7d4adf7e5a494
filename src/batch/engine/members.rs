use std::sync::Arc;

use super::{Engine, Worker};
use crate::batch::{Member, MemberChanges, Profile, WorkerKey, row_bytes};
use crate::collections::{Map, Set};

/// Maximum number of changes that are written with one renewal. A transaction of the store takes
/// 100 entries; the others are for the leader row, its condition and the parts of its lists.
const MAX_CHANGES: usize = 80;

/// Largest size of the changes that are written with one renewal, in bytes.
const MAX_CHANGES_BYTES: usize = 100_000;

/// Largest size of the row of a member, in bytes. A usual one takes less than 200; its texts come from
/// registrations. A worker with a larger row gets no starts.
const MAX_MEMBER_BYTES: usize = 8_192;

/// Workers recorded in the store for the next leader, which waits for their answers.
///
/// The list in which workers register cannot replace them: a registration expires while the store
/// is away, although the worker runs on, and an entry of another writer names no worker.
#[derive(Debug, Default)]
pub(super) struct Members {
    entries: Map<Arc<str>, Entry>,
    /// Changes that were taken for the next renewal.
    pending: MemberChanges,
    /// Number of changes that are taken at most, less than [`MAX_CHANGES`] after a refusal.
    limit: Option<usize>,
    /// Workers whose rows the store does not take.
    refused: Set<Arc<str>>,
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

    /// Returns whether the store certainly holds a row of a worker.
    pub(super) fn is_stored(&self, id: &Arc<str>) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.stored)
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
        let limit = self.limit.unwrap_or(MAX_CHANGES);
        let mut bytes = 0;
        let mut too_large = Vec::new();
        for worker in workers {
            wanted.insert(&worker.profile.id);
            let is_new = worker.answered_at.is_some()
                && !self.contains(&worker.profile)
                && !self.refused.contains(&worker.profile.id);
            if !is_new || changes.added.len() >= limit {
                continue;
            }
            let member = Member::from(&worker.profile);
            let size = row_bytes(&member);
            if size > MAX_MEMBER_BYTES {
                too_large.push((worker.profile.id.clone(), size));
            } else if bytes + size <= MAX_CHANGES_BYTES {
                bytes += size;
                changes.added.push(member);
            }
        }
        let outdated = self.entries.keys();
        let outdated =
            outdated.filter(|id| !wanted.contains(id) && !kept(id) && !self.refused.contains(*id));
        changes
            .removed
            .extend(outdated.take(limit - changes.added.len()).cloned());
        for (id, bytes) in too_large {
            log::error!(event = "row-refused", key = id, bytes, reason = "larger than a member"; "");
            self.refused.insert(id);
        }
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

    /// Records that the store refuses changes for good. Fewer are taken next, and one that is refused
    /// alone is not sent again.
    fn refuse(&mut self, changes: &MemberChanges) {
        let count = changes.added.len() + changes.removed.len();
        self.limit = Some((count / 2).max(1));
        if count == 1 {
            let ids = changes.added.iter().map(|member| &member.worker);
            self.refused.extend(ids.chain(&changes.removed).cloned());
        }
    }

    /// Takes back the changes taken last, which were not written. They are taken again.
    fn withdraw(&mut self) -> MemberChanges {
        std::mem::take(&mut self.pending)
    }

    /// Records that the changes taken last are stored, and returns them.
    fn confirm(&mut self) -> MemberChanges {
        let changes = std::mem::take(&mut self.pending);
        self.limit = None;
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

    /// Takes back the changes taken last, whose transaction had no effect. They are taken again, and do
    /// not count as stored with the next renewal.
    pub fn withdraw_member_changes(&mut self) -> MemberChanges {
        self.members.withdraw()
    }

    /// Records that the store refuses changes for good, which were withdrawn: a renewal without them
    /// was stored.
    pub fn refuse_member_changes(&mut self, changes: &MemberChanges) {
        self.members.refuse(changes);
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
        self.workers
            .values()
            .any(|worker| self.must_be_stored(worker))
    }

    /// Returns whether that holds for one worker.
    pub fn is_unstored_member(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|worker| self.must_be_stored(worker))
    }

    fn must_be_stored(&self, worker: &Worker) -> bool {
        !worker.delisted
            && worker.answered_at.is_some()
            && !worker.is_member
            && !self.members.refused.contains(&worker.profile.id)
    }
}
