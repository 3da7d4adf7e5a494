use std::time::Duration;

use super::{Grant, Ledger};
use crate::clock::Instant;
use crate::fleet::WorkspaceId;
use crate::limit::{LOAN_TERM, LoanId, PeerId, Reply, Request};

/// Longest run that a borrower may request; a larger value would block the lender's permits.
const MAX_RUN: Duration = Duration::from_secs(24 * 3600);

impl Ledger {
    /// Answers a request of a borrower.
    ///
    /// A duplicate of a borrow request gets the same reply and no second loan. The lender keeps the
    /// permits that its own recent demand needs. A return has no reply.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::{Ledger, LoanId, Reply, Request, Voter};
    ///
    /// let (workspace, now) = (WorkspaceId(0), Instant::default());
    /// let mut ledger = Ledger::example(2, 10);
    /// let peer = ledger.peer_id(&Voter::new("b", 1));
    /// let run = ledger.longest_run();
    /// let request = Request::Borrow { id: LoanId(1), workspace, amount: 9, run };
    /// let reply = ledger.handle_request(peer, request, now);
    /// assert!(matches!(reply, Some(Reply::Loan { amount: 5, .. })));
    /// assert_eq!(ledger.handle_request(peer, request, now), reply);
    /// assert_eq!(ledger.lent(workspace), 5);
    /// ```
    pub fn handle_request(
        &mut self,
        from: PeerId,
        request: Request,
        now: Instant,
    ) -> Option<Reply> {
        if !self.peers.contains_key(from) {
            return None;
        }
        match request {
            Request::Borrow {
                id,
                workspace,
                amount,
                run,
            } => Some(self.answer_borrow((from, id), workspace, amount, run, now)),
            Request::Renew {
                id,
                attempt,
                keep,
                run,
            } => {
                self.reduce_grant((from, id), keep);
                let amount = self.renew_grant((from, id), run, now);
                Some(Reply::Renewed {
                    id,
                    attempt,
                    amount,
                    basis: self.basis(),
                })
            }
            Request::Return { id, keep } => {
                self.reduce_grant((from, id), keep);
                None
            }
        }
    }

    fn answer_borrow(
        &mut self,
        key: (PeerId, LoanId),
        workspace: WorkspaceId,
        requested: u32,
        run: Duration,
        now: Instant,
    ) -> Reply {
        let (from, id) = key;
        let (amount, basis) = match self.grants.get(&key) {
            Some(grant) => grant.reply,
            None => (
                self.create_grant(key, workspace, requested, run, now),
                self.basis(),
            ),
        };
        let peer = &mut self.peers[from];
        peer.highest_loan = peer.highest_loan.max(id);
        Reply::Loan { id, amount, basis }
    }

    /// Grants a loan of at most `requested` permits, leaving those that recent demand needs here,
    /// and returns its amount.
    fn create_grant(
        &mut self,
        key: (PeerId, LoanId),
        workspace: WorkspaceId,
        requested: u32,
        run: Duration,
        now: Instant,
    ) -> u32 {
        let basis = self.basis();
        let already_seen = key.1 <= self.peers[key.0].highest_loan;
        let Some(account) = self.accounts.get_mut(workspace.index()) else {
            return 0;
        };
        if self.shutting_down || already_seen || run > MAX_RUN {
            return 0;
        }
        let reserved = account.recent_peak(now).saturating_sub(account.running());
        let amount = requested.min(account.idle().saturating_sub(reserved));
        if amount > 0 {
            account.lent += amount;
            let grant = Grant {
                workspace,
                amount,
                reply: (amount, basis),
                expires_at: now + LOAN_TERM + run,
            };
            self.grants.insert(key, grant);
        }
        amount
    }

    /// Renews a loan for another term and returns how many of its permits stay usable.
    ///
    /// Permits that exceed the quota or that this instance needs itself are withheld; they stay
    /// counted as lent until the borrower returns them.
    fn renew_grant(&mut self, key: (PeerId, LoanId), run: Duration, now: Instant) -> u32 {
        let Some(grant) = self.grants.get_mut(&key) else {
            return 0;
        };
        if self.shutting_down || run > MAX_RUN {
            return 0;
        }
        let account = &self.accounts[grant.workspace.index()];
        let excess = (account.quota_in_use + account.lent).saturating_sub(account.quota);
        let idle = account.idle();
        let shortfall = account.waiting(now).saturating_sub(idle);
        let amount = grant.amount.saturating_sub(excess.max(shortfall));
        if amount > 0 {
            grant.expires_at = grant.expires_at.max(now + LOAN_TERM + run);
        }
        amount
    }

    /// Reduces a loan to `keep` permits. The smallest `keep` received applies, so the order and
    /// duplicates of messages do not matter.
    fn reduce_grant(&mut self, key: (PeerId, LoanId), keep: u32) {
        let peer = &mut self.peers[key.0];
        peer.highest_loan = peer.highest_loan.max(key.1);
        let Some(grant) = self.grants.get_mut(&key) else {
            return;
        };
        let returned = grant.amount.saturating_sub(keep);
        grant.amount -= returned;
        self.accounts[grant.workspace.index()].lent -= returned;
        if grant.amount == 0 {
            self.grants.remove(&key);
        }
    }
}
