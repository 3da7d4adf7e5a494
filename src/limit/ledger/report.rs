use super::Ledger;
use crate::clock::Instant;
use crate::fleet::WorkspaceId;
use crate::limit::account::Account;
use crate::limit::{Basis, PeerId, Report};

impl Ledger {
    /// Returns the report to send to peers.
    ///
    /// ```
    /// let report = coriandernotch::limit::Ledger::example(2, 10).report();
    /// assert_eq!((report.settled, report.closed), (1, 1));
    /// ```
    pub fn report(&self) -> Report {
        let running = self
            .accounts_by_workspace()
            .map(|(workspace, a)| (workspace, a.running()));
        Report {
            settled: self.settled(),
            closed: self.closed_version,
            running: running.filter(|(_, count)| *count > 0).collect(),
        }
    }

    /// Applies the report of a peer: its running units, from which its idle permits are estimated,
    /// and the versions that it reports as settled and closed. The quota of this instance grows
    /// as soon as all voters concerned have settled in a version.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::{Ledger, Report, Terms, Voter};
    ///
    /// let now = Instant::default();
    /// let mut ledger = Ledger::example(2, 10);
    /// let peer = ledger.peer_id(&Voter::new("b", 1));
    /// ledger.install(&Terms::example(2, 2, 20), now);
    /// assert_eq!(ledger.quota(WorkspaceId(0)), 5);
    /// ledger.apply_report(peer, Report { settled: 2, ..Report::default() }, now);
    /// assert_eq!(ledger.quota(WorkspaceId(0)), 10);
    /// ```
    pub fn apply_report(&mut self, from: PeerId, report: Report, now: Instant) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        // Reports may arrive out of order; `settled` and `closed` stay true once reported.
        peer.settled = peer.settled.max(report.settled);
        self.closed_version = self.closed_version.max(report.closed);
        peer.running.clear();
        for (workspace, count) in report.running {
            // Only workspaces with an account are stored, so that a peer cannot grow the vector.
            if workspace.index() < self.accounts.len() {
                let size = peer.running.len().max(workspace.index() + 1);
                peer.running.resize(size, 0);
                peer.running[workspace.index()] = count;
            }
        }
        self.close_versions(now);
    }

    /// Returns the newest version in which this instance has settled: its permits in use or lent
    /// fit its quotas in that version and in all older versions that are not closed.
    ///
    /// Returns `u64::MAX` once the instance is shutting down and has no permits in use or lent.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::{Ledger, Terms};
    ///
    /// let (workspace, now) = (WorkspaceId(0), Instant::default());
    /// let mut ledger = Ledger::example(2, 2);
    /// let permit = ledger.take(workspace, now).unwrap();
    /// ledger.install(&Terms::example(2, 2, 0), now);
    /// assert_eq!(ledger.settled(), 1);
    /// ledger.release(permit);
    /// assert_eq!(ledger.settled(), 2);
    /// ```
    pub fn settled(&self) -> u64 {
        let used_or_lent = |a: &Account| a.quota_in_use + a.lent;
        if self.shutting_down && self.accounts.iter().all(|a| a.running() + a.lent == 0) {
            return u64::MAX;
        }
        let fits = |v: &&super::Version| {
            self.accounts_by_workspace().all(|(workspace, a)| {
                let quota = if v.follows_gap { 0 } else { v.quota(workspace) };
                used_or_lent(a) <= quota
            })
        };
        let fitting = self.committed.iter().take_while(fits);
        fitting.last().map_or(0, |v| v.mark.version)
    }

    /// Returns the versions that this instance enforces, for the reply to a borrower.
    pub(super) fn basis(&self) -> Basis {
        Basis {
            version: self.version(),
            pending: self.pending.last().map(|p| p.mark),
        }
    }

    pub(super) fn accounts_by_workspace(&self) -> impl Iterator<Item = (WorkspaceId, &Account)> {
        (0..).map(WorkspaceId).zip(&self.accounts)
    }
}
