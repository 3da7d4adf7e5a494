mod borrow;
mod lend;
mod permits;
mod report;
mod tick;
mod versions;

use std::time::Duration;

use slotmap::SlotMap;

use super::account::Account;
use super::grant::Grant;
use super::peer::Peer;
use super::phase::Phase;
use super::version::Version;
use super::{Loan, LoanId, PeerId, TermsId, Voter};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::WorkspaceId;

/// All permits of one entry instance.
///
/// Time: taking, checking and giving back a permit look up one account and at most one loan,
/// except that a take beyond the quota searches the loans of the workspace, at most four per peer.
/// Installing a version computes one hash per workspace and voter. Periodic calls visit each
/// workspace and each loan once.
///
/// Memory: 4 bytes per workspace and voter for each known version, 4 bytes per workspace for the
/// counts reported by each peer, and about 200 bytes per loan. Versions are dropped once closed.
#[derive(Clone, Debug)]
pub struct Ledger {
    own_id: PeerId,
    peers: SlotMap<PeerId, Peer>,
    peer_ids: Map<Voter, PeerId>,
    accounts: Vec<Account>,
    loans: Map<LoanId, Loan>,
    grants: Map<(PeerId, LoanId), Grant>,
    /// Committed versions whose quotas may still be in use, oldest first.
    committed: Vec<Version>,
    /// Acknowledged changes that are not known to be committed or abandoned.
    pending: Vec<Version>,
    /// Newest version known to be closed: no unit in the fleet runs under older quotas.
    closed_version: u64,
    /// Longest run over the dropped versions, and until when units admitted under them may run.
    dropped_longest_run: (Duration, Instant),
    /// Until when no loan of a workspace is requested again from a peer that refused one.
    refused_until: Map<(PeerId, WorkspaceId), Instant>,
    last_loan: u64,
    borrow_round: u64,
    shutting_down: bool,
}

impl Ledger {
    /// Makes the ledger of one incarnation of an instance; it has no permits before the first
    /// version is installed.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::{Denial, Ledger, Voter};
    ///
    /// let mut ledger = Ledger::new(Voter::new("a", 1));
    /// let denied = ledger.take(WorkspaceId(0), Instant::default());
    /// assert_eq!(denied, Err(Denial::UnknownWorkspace));
    /// ```
    pub fn new(own: Voter) -> Self {
        let mut peers = SlotMap::with_key();
        let id = peers.insert(Peer::new(own.clone()));
        Self {
            own_id: id,
            peers,
            peer_ids: Map::from_iter([(own, id)]),
            accounts: Vec::new(),
            loans: Map::default(),
            grants: Map::default(),
            committed: Vec::new(),
            pending: Vec::new(),
            closed_version: 0,
            dropped_longest_run: Default::default(),
            refused_until: Map::default(),
            last_loan: 0,
            borrow_round: 0,
            shutting_down: false,
        }
    }

    /// Makes the ledger of voter `a` with version 1 of [`super::Terms::example`] in force, for
    /// examples and tests.
    ///
    /// ```
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::Ledger;
    ///
    /// assert_eq!(Ledger::example(2, 10).quota(WorkspaceId(0)), 5);
    /// ```
    pub fn example(voters: u8, limit: u32) -> Self {
        let mut out = Self::new(Voter::new("a", 1));
        out.install(&super::Terms::example(1, voters, limit), Instant::default());
        out
    }

    /// Returns the id of a peer, which stays valid until neither a known version nor a loan refers
    /// to the peer.
    ///
    /// ```
    /// use coriandernotch::limit::{Ledger, Voter};
    ///
    /// let mut ledger = Ledger::example(2, 10);
    /// let peer = ledger.peer_id(&Voter::new("b", 1));
    /// assert_eq!(ledger.voter(peer), Some(&Voter::new("b", 1)));
    /// ```
    pub fn peer_id(&mut self, voter: &Voter) -> PeerId {
        if let Some(id) = self.peer_ids.get(voter) {
            return *id;
        }
        let id = self.peers.insert(Peer::new(voter.clone()));
        self.peer_ids.insert(voter.clone(), id);
        id
    }

    /// Returns the name and incarnation of a peer.
    ///
    /// ```
    /// use coriandernotch::limit::{Ledger, PeerId};
    ///
    /// assert_eq!(Ledger::example(2, 10).voter(PeerId::default()), None);
    /// ```
    pub fn voter(&self, peer: PeerId) -> Option<&Voter> {
        self.peers.get(peer).map(|p| &p.voter)
    }

    /// Returns the newest committed version, or 0 before the first.
    ///
    /// ```
    /// assert_eq!(coriandernotch::limit::Ledger::example(2, 10).version(), 1);
    /// ```
    pub fn version(&self) -> u64 {
        self.committed.last().map_or(0, |v| v.mark.version)
    }

    /// Returns whether the shutdown has begun.
    ///
    /// ```
    /// assert!(!coriandernotch::limit::Ledger::example(2, 10).is_shutting_down());
    /// ```
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// Returns whether a change is enforced that is not known to be committed or abandoned.
    ///
    /// ```
    /// use coriandernotch::limit::{Ledger, TermsId};
    ///
    /// assert!(!Ledger::example(2, 10).is_pending(TermsId { version: 2, tag: 7 }));
    /// ```
    pub fn is_pending(&self, mark: TermsId) -> bool {
        self.pending.iter().any(|p| p.mark == mark)
    }

    /// Returns how many units of a workspace run at this instance.
    ///
    /// ```
    /// use coriandernotch::fleet::WorkspaceId;
    ///
    /// assert_eq!(coriandernotch::limit::Ledger::example(2, 10).running(WorkspaceId(7)), 0);
    /// ```
    pub fn running(&self, workspace: WorkspaceId) -> u32 {
        self.accounts
            .get(workspace.index())
            .map_or(0, Account::running)
    }

    /// Returns the quota of this instance for a workspace: the smallest over all versions that may
    /// be in force.
    ///
    /// ```
    /// use coriandernotch::fleet::WorkspaceId;
    ///
    /// assert_eq!(coriandernotch::limit::Ledger::example(4, 8).quota(WorkspaceId(0)), 2);
    /// ```
    pub fn quota(&self, workspace: WorkspaceId) -> u32 {
        self.accounts.get(workspace.index()).map_or(0, |a| a.quota)
    }

    /// Returns how many permits of the quota are lent, including those that a borrower may still be
    /// using after its loan has expired.
    ///
    /// ```
    /// use coriandernotch::fleet::WorkspaceId;
    ///
    /// assert_eq!(coriandernotch::limit::Ledger::example(4, 8).lent(WorkspaceId(0)), 0);
    /// ```
    pub fn lent(&self, workspace: WorkspaceId) -> u32 {
        self.accounts.get(workspace.index()).map_or(0, |a| a.lent)
    }

    /// Lists the loans received from peers.
    ///
    /// ```
    /// assert_eq!(coriandernotch::limit::Ledger::example(4, 8).loans().count(), 0);
    /// ```
    pub fn loans(&self) -> impl Iterator<Item = (LoanId, &Loan)> {
        self.loans.iter().map(|(id, loan)| (*id, loan))
    }

    /// Returns the longest time for which a unit may run: the smallest value over all known
    /// versions.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::limit::Ledger;
    ///
    /// assert_eq!(Ledger::example(2, 10).longest_run(), Duration::from_secs(30));
    /// ```
    pub fn longest_run(&self) -> Duration {
        let known = self.committed.iter().chain(&self.pending);
        known.map(|v| v.longest_run).min().unwrap_or_default()
    }
}

/// Removes a loan under which no unit runs.
fn remove_loan(loans: &mut Map<LoanId, Loan>, account: &mut Account, id: LoanId) {
    debug_assert!(loans.get(&id).is_none_or(|l| l.used == 0));
    loans.remove(&id);
    account.loans.retain(|l| *l != id);
    account.last_loan_index = 0;
}

/// Returns whether the lender granted a loan without knowing terms that changed the quotas of its
/// workspace.
fn is_stale(committed: &[Version], pending: &[Version], account: &Account, loan: &Loan) -> bool {
    let newest = committed.last();
    let mut unknown = pending.iter().filter(|p| !loan.basis.covers(p.mark));
    loan.phase == Phase::Active
        && (!loan.basis.covers(account.moved_by)
            || unknown.any(|p| newest.is_none_or(|v| !v.same_quotas(p, loan.workspace))))
}
