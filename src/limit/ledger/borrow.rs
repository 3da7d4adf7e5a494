use super::{Ledger, is_stale, remove_loan};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::WorkspaceId;
use crate::limit::phase::Phase;
use crate::limit::{Envelope, Loan, LoanId, PeerId, Reply, Request, hash_voter, mix};
use std::time::Duration;

/// Maximum number of peers asked in one round for permits of one workspace.
const MAX_PEERS_PER_ROUND: usize = 8;

/// Time between rounds of borrow requests for one workspace; 17 rounds reach 136 instances in
/// 0.85 s.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of loans of one workspace from one peer; with more, renewals would cost more
/// than the permits are worth.
const MAX_LOANS_PER_PEER: u32 = 4;

/// Time for which a peer that refused a loan is not asked again for the same workspace.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);

impl Ledger {
    /// Returns borrow requests for workspaces that have units waiting.
    ///
    /// At most [`MAX_PEERS_PER_ROUND`] peers are asked per workspace and round, in descending order
    /// of the idle permits computed from their quota and last report. Among peers with similar
    /// numbers the order depends on the borrower and the round, so that borrowers do not all
    /// choose the same lender.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::{Ledger, Request};
    ///
    /// let now = Instant::default();
    /// let mut ledger = Ledger::example(3, 9);
    /// ledger.set_waiting(WorkspaceId(0), 8, now);
    /// let orders = ledger.borrow_requests(now);
    /// assert_eq!(orders.len(), 2);
    /// assert!(matches!(orders[0].request, Request::Borrow { amount: 3, .. }));
    /// ```
    pub fn borrow_requests(&mut self, now: Instant) -> Vec<Envelope> {
        let mut orders = Vec::new();
        if self.shutting_down {
            return orders;
        }
        for workspace in (0..self.accounts.len() as u32).map(WorkspaceId) {
            let shortfall = self.shortfall(workspace, now);
            let asked_at = &mut self.accounts[workspace.index()].asked_at;
            if shortfall > 0 && asked_at.is_none_or(|t| now.since(t) >= ROUND_INTERVAL) {
                *asked_at = Some(now);
                self.borrow_round += 1;
                self.request_loans(workspace, shortfall, now, &mut orders);
            }
        }
        orders
    }

    /// Applies the reply of a lender to the loan it belongs to.
    ///
    /// A reply has no effect when its request was abandoned or when the term, which began with the
    /// request, has ended.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::{Basis, Ledger, Reply, Request};
    ///
    /// let (workspace, now) = (WorkspaceId(0), Instant::default());
    /// let mut ledger = Ledger::example(2, 2);
    /// let permit = ledger.take(workspace, now).unwrap();
    /// assert!(ledger.take(workspace, now).is_err());
    /// let envelope = ledger.borrow_requests(now)[0];
    /// let Request::Borrow { id, amount, .. } = envelope.request else { unreachable!() };
    /// let basis = Basis { version: 1, pending: None };
    /// ledger.apply_reply(envelope.to, Reply::Loan { id, amount, basis }, now);
    /// assert!(ledger.take(workspace, now).is_ok());
    /// ```
    pub fn apply_reply(&mut self, from: PeerId, reply: Reply, now: Instant) {
        let (Reply::Loan { id, amount, basis }
        | Reply::Renewed {
            id, amount, basis, ..
        }) = reply;
        let Some(loan) = self.loans.get_mut(&id).filter(|l| l.lender == from) else {
            return;
        };
        let account = &mut self.accounts[loan.workspace.index()];
        match (loan.phase, reply) {
            (Phase::Requested, Reply::Loan { .. }) if amount > 0 => {
                loan.phase = Phase::Active;
                loan.amount = loan.amount.min(amount);
                loan.reported_kept = loan.amount;
                loan.basis = basis;
            }
            (Phase::Requested, Reply::Loan { .. }) => {
                self.refused_until
                    .insert((from, loan.workspace), now + REFUSAL_BACKOFF);
                remove_loan(&mut self.loans, account, id);
                return;
            }
            (Phase::Active, Reply::Renewed { attempt, .. }) => {
                let Some((_, sent_at, max_run)) = loan.last_renewal.filter(|a| a.0 == attempt)
                else {
                    return;
                };
                loan.amount = loan.amount.min(amount);
                if loan.amount == 0 {
                    loan.phase = Phase::Closing;
                    return;
                }
                (loan.term_start, loan.max_run, loan.basis) = (sent_at, max_run, basis);
            }
            _ => return,
        }
        loan.stale = is_stale(&self.committed, &self.pending, account, loan);
    }

    /// Returns how many more permits a workspace needs at this instance.
    fn shortfall(&self, workspace: WorkspaceId, now: Instant) -> u32 {
        let account = &self.accounts[workspace.index()];
        let waiting = account.waiting(now);
        let (Some(limit), true) = (account.limit, waiting > 0) else {
            return 0;
        };
        let expected = |id| self.loans.get(id).map_or(0, |l| l.expected(now));
        let borrowed: u32 = account.loans.iter().map(expected).sum();
        let available = borrowed + account.quota.saturating_sub(account.lent);
        // Requests at least half as many permits again as are in use, because some callers report
        // only one waiting unit at a time.
        let wanted = account.running() + waiting.max(account.running() / 2);
        wanted.min(limit).saturating_sub(available)
    }

    fn request_loans(
        &mut self,
        workspace: WorkspaceId,
        mut shortfall: u32,
        now: Instant,
        orders: &mut Vec<Envelope>,
    ) {
        let mut lenders = self.candidate_lenders(workspace, now);
        lenders.sort_unstable_by(|a, b| b.cmp(a));
        for (_, _, idle, to) in lenders.into_iter().take(MAX_PEERS_PER_ROUND) {
            if shortfall == 0 {
                break;
            }
            let amount = shortfall.min(idle.max(1));
            shortfall -= amount;
            self.last_loan += 1;
            let (id, run) = (LoanId(self.last_loan), self.longest_run());
            self.loans
                .insert(id, Loan::requested(to, workspace, amount, run, now));
            self.accounts[workspace.index()].loans.push(id);
            let request = Request::Borrow {
                id,
                workspace,
                amount,
                run,
            };
            orders.push(Envelope { to, request });
        }
    }

    /// Lists the peers that may lend, as (bit length of the idle permits, tie-breaking hash, idle
    /// permits, peer).
    fn candidate_lenders(
        &self,
        workspace: WorkspaceId,
        now: Instant,
    ) -> Vec<(u32, u64, u32, PeerId)> {
        let Some(newest) = self.committed.last() else {
            return Vec::new();
        };
        let account = &self.accounts[workspace.index()];
        let mut borrowed: Map<PeerId, (u32, u32)> = Map::default();
        for loan in account.loans.iter().filter_map(|id| self.loans.get(id)) {
            let (kept, count) = borrowed.entry(loan.lender).or_default();
            *kept += loan.kept();
            // A loan that is not active excludes the peer, so that each peer has at most one
            // open request per workspace.
            *count += if loan.phase == Phase::Active {
                1
            } else {
                MAX_LOANS_PER_PEER
            };
        }
        let borrowed = |peer| borrowed.get(&peer).copied().unwrap_or_default();
        let seed = mix(self.borrow_round ^ hash_voter(&self.peers[self.own_id].voter));
        let refused = |peer| {
            self.refused_until
                .get(&(peer, workspace))
                .is_some_and(|t| now < *t)
        };
        newest
            .quotas(workspace)
            .filter(|(peer, _)| *peer != self.own_id && !refused(*peer))
            .filter(|(peer, _)| borrowed(*peer).1 < MAX_LOANS_PER_PEER)
            .filter_map(|(peer, quota)| {
                let lender = self.peers.get(peer)?;
                let running = lender.running.get(workspace.index()).copied().unwrap_or(0);
                let idle = quota.saturating_sub(running + borrowed(peer).0);
                let magnitude = u32::BITS - idle.leading_zeros();
                Some((magnitude, mix(seed ^ hash_voter(&lender.voter)), idle, peer))
            })
            .collect()
    }
}
