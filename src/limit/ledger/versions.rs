use std::time::Duration;

use super::{Ledger, is_stale};
use crate::clock::Instant;
use crate::limit::account::Account;
use crate::limit::version::Version;
use crate::limit::{Allocation, FRESHNESS, PeerId, Terms, TermsId};

impl Ledger {
    /// Puts a committed version into force.
    ///
    /// Quotas shrink immediately; they grow once no unit can run under older quotas any more, see
    /// [`Ledger::apply_report`]. A version that is not newer than the one in force is ignored. When
    /// the preceding version is unknown, the quota is 0 until no unit can run under older quotas,
    /// because a peer may have been given permits that this instance does not know of.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::{Ledger, Terms};
    ///
    /// let (workspace, now) = (WorkspaceId(0), Instant::default());
    /// let mut ledger = Ledger::example(2, 10);
    /// ledger.install(&Terms::example(2, 2, 4), now);
    /// assert_eq!(ledger.quota(workspace), 2);
    /// ledger.install(&Terms::example(3, 2, 8), now);
    /// assert_eq!(ledger.quota(workspace), 2);
    /// ```
    pub fn install(&mut self, terms: &Terms, now: Instant) {
        let last = self.version();
        if terms.version <= last {
            return;
        }
        let mut version = self.build_version(terms, now);
        version.follows_gap = terms.version != last + 1;
        self.pending.retain(|p| p.mark.version > terms.version);
        self.grow_accounts(version.allocations.len());
        for (workspace, account) in (0..).map(crate::fleet::WorkspaceId).zip(&mut self.accounts) {
            let previous = self.committed.last();
            if version.follows_gap || previous.is_none_or(|v| !v.same_quotas(&version, workspace)) {
                account.moved_by = version.mark;
            }
        }
        self.committed.push(version);
        self.close_versions(now);
        self.recompute();
        self.prune_peers();
    }

    /// Enforces a change that may or may not be committed, in addition to the version in force.
    ///
    /// Returns false when the change does not directly follow the version in force. The change must
    /// then not be acknowledged, because the quotas of the versions in between are unknown.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::{Ledger, Terms};
    ///
    /// let (workspace, now) = (WorkspaceId(0), Instant::default());
    /// let mut ledger = Ledger::example(2, 10);
    /// let change = Terms::example(2, 2, 4);
    /// assert!(ledger.prepare(&change, now));
    /// assert_eq!(ledger.quota(workspace), 2);
    /// ledger.abandon(change.id());
    /// assert_eq!(ledger.quota(workspace), 5);
    /// assert!(!ledger.prepare(&Terms::example(3, 2, 4), now));
    /// ```
    pub fn prepare(&mut self, terms: &Terms, now: Instant) -> bool {
        let last = self.version();
        if terms.version != last + 1 {
            return false;
        }
        let mark = terms.id();
        if self.pending.iter().all(|p| p.mark != mark) {
            let version = self.build_version(terms, now);
            self.grow_accounts(version.allocations.len());
            self.pending.push(version);
            self.recompute();
        }
        true
    }

    /// Drops a pending change that is known not to have been committed.
    ///
    /// ```
    /// use coriandernotch::limit::{Ledger, TermsId};
    ///
    /// Ledger::example(2, 10).abandon(TermsId { version: 2, tag: 7 }); // unknown: no effect
    /// ```
    pub fn abandon(&mut self, mark: TermsId) {
        self.pending.retain(|p| p.mark != mark);
        self.recompute();
        self.prune_peers();
    }

    /// Drops all versions older than the newest one that is closed: no unit can run under the
    /// quotas of the dropped versions any more.
    ///
    /// After a gap in the known versions, the longest run of the missing ones is unknown. When all
    /// peers that know it are lost, the longest run of the known versions is used instead.
    pub(super) fn close_versions(&mut self, now: Instant) {
        if self.committed.len() == 1 && !self.committed[0].follows_gap {
            self.closed_version = self.closed_version.max(self.committed[0].mark.version);
            return;
        }
        let newest = self.version();
        let closable = (0..self.committed.len()).rev().find(|&i| {
            let version = self.committed[i].mark.version;
            // A closed version beyond the newest known one is ignored: its quotas are unknown here.
            (version <= self.closed_version && self.closed_version <= newest)
                || version <= 1
                || self.all_voters_settled(&self.committed[..=i])
                || self.older_work_ended(i, now)
        });
        let Some(oldest) = closable else { return };
        self.closed_version = self.closed_version.max(self.committed[oldest].mark.version);
        self.committed[oldest].follows_gap = false;
        if let Some(run) = self.committed.drain(..oldest).map(|v| v.longest_run).max() {
            let run = run.max(self.dropped_longest_run(now));
            self.dropped_longest_run = (run, now + FRESHNESS + run);
        }
        self.recompute();
        self.prune_peers();
    }

    /// Returns whether all voters of these versions have settled in the newest of them.
    fn all_voters_settled(&self, versions: &[Version]) -> bool {
        let Some(newest) = versions.last() else {
            return false;
        };
        let (own, version) = (self.settled(), newest.mark.version);
        let settled = |id: &PeerId| {
            let reported = if *id == self.own_id {
                own
            } else {
                self.peers.get(*id).map_or(0, |p| p.settled)
            };
            reported >= version
        };
        versions
            .iter()
            .all(|v| !v.follows_gap && v.voters.iter().all(settled))
    }

    /// Returns whether all units admitted before every instance knew the version at `index` have
    /// ended; an instance that does not know it can admit units for at most [`FRESHNESS`].
    fn older_work_ended(&self, index: usize, now: Instant) -> bool {
        let known = self.committed[..=index].iter().map(|v| v.longest_run);
        let run = known.fold(self.dropped_longest_run(now), Duration::max);
        now.since(self.committed[index].learned_at) > FRESHNESS + run
    }

    fn dropped_longest_run(&self, now: Instant) -> Duration {
        let (run, until) = self.dropped_longest_run;
        if now < until { run } else { Duration::ZERO }
    }

    /// Recomputes the quotas, limits and stale loans, which depend on the set of known versions.
    fn recompute(&mut self) {
        let gap = self.committed.iter().any(|v| v.follows_gap);
        let known = || self.committed.iter().chain(&self.pending);
        for (workspace, account) in (0..).map(crate::fleet::WorkspaceId).zip(&mut self.accounts) {
            let quota = known().map(|v| v.quota(workspace)).min().unwrap_or(0);
            account.quota = if gap { 0 } else { quota };
            account.limit = self.committed.last().and_then(|v| v.limit(workspace));
        }
        for loan in self.loans.values_mut() {
            let account = &self.accounts[loan.workspace.index()];
            loan.stale = is_stale(&self.committed, &self.pending, account, loan);
        }
    }

    /// Drops peers that no known version and no loan refers to.
    fn prune_peers(&mut self) {
        let known = self.committed.iter().chain(&self.pending);
        let mut used: crate::collections::Set<PeerId> =
            known.flat_map(|v| v.voters.iter().copied()).collect();
        used.insert(self.own_id);
        used.extend(self.loans.values().map(|l| l.lender));
        used.extend(self.grants.keys().map(|(peer, _)| *peer));
        self.peers.retain(|id, _| used.contains(&id));
        self.peer_ids.retain(|_, id| used.contains(id));
    }

    fn grow_accounts(&mut self, workspaces: usize) {
        let count = self.accounts.len().max(workspaces);
        self.accounts.resize_with(count, Account::default);
    }

    fn build_version(&mut self, terms: &Terms, now: Instant) -> Version {
        let voters: Vec<PeerId> = terms.voters.iter().map(|v| self.peer_id(v)).collect();
        let hashes: Vec<u64> = terms.voters.iter().map(crate::limit::hash_voter).collect();
        let workspaces = terms.caps.iter().map(|c| c.workspace.index() + 1).max();
        let mut allocations = vec![None; workspaces.unwrap_or(0)];
        for cap in &terms.caps {
            allocations[cap.workspace.index()] =
                Some(Allocation::split_hashed(&cap.name, cap.limit, &hashes));
        }
        Version {
            mark: terms.id(),
            own_index: voters.iter().position(|v| *v == self.own_id),
            voters,
            allocations,
            longest_run: terms.longest_run,
            learned_at: now,
            follows_gap: false,
        }
    }
}
