use super::{Ledger, remove_loan};
use crate::clock::Instant;
use crate::limit::phase::Phase;
use crate::limit::{Envelope, Request};

impl Ledger {
    /// Performs all time-dependent work and returns the requests to send; to be called every 20 to
    /// 50 ms.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::limit::Ledger;
    ///
    /// assert!(Ledger::example(2, 10).tick(Instant::default()).is_empty());
    /// ```
    pub fn tick(&mut self, now: Instant) -> Vec<Envelope> {
        self.expire_grants(now);
        self.close_versions(now);
        let mut orders = self.renewal_requests(now);
        orders.extend(self.borrow_requests(now));
        orders
    }

    /// Removes loans to borrowers under which no unit can run any more, and refusals whose waiting
    /// time has passed.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::limit::Ledger;
    ///
    /// Ledger::example(2, 10).expire_grants(Instant::default());
    /// ```
    pub fn expire_grants(&mut self, now: Instant) {
        let accounts = &mut self.accounts;
        self.grants.retain(|_, grant| {
            let keep = now < grant.expires_at;
            if !keep {
                accounts[grant.workspace.index()].lent -= grant.amount;
            }
            keep
        });
        self.refused_until.retain(|_, until| now < *until);
    }

    /// Returns renewal requests for loans that are still needed and return requests for permits
    /// that are not.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::limit::Ledger;
    ///
    /// assert!(Ledger::example(2, 10).renewal_requests(Instant::default()).is_empty());
    /// ```
    pub fn renewal_requests(&mut self, now: Instant) -> Vec<Envelope> {
        let mut orders = Vec::new();
        let run = self.longest_run();
        for account in &mut self.accounts {
            if account.loans.is_empty() {
                continue;
            }
            let available = account.quota.saturating_sub(account.lent);
            let mut need = account.recent_peak(now).saturating_sub(available);
            let ids = account.loans.clone();
            for id in ids {
                let Some(loan) = self.loans.get_mut(&id) else {
                    continue;
                };
                if self.shutting_down {
                    loan.phase = Phase::Closing;
                }
                let keep = loan.keep_if_due(need, now);
                need = need.saturating_sub(loan.kept());
                let Some(keep) = keep else { continue };
                let to = loan.lender;
                let request = if loan.phase == Phase::Active && keep > 0 {
                    loan.start_renewal(id, run, now)
                } else {
                    loan.reported_kept = keep;
                    Request::Return { id, keep }
                };
                orders.push(Envelope { to, request });
                if keep == 0 {
                    remove_loan(&mut self.loans, account, id);
                }
            }
        }
        orders
    }

    /// Begins a graceful shutdown: takes and borrow requests are refused, and borrowed permits that
    /// are not in use are returned to the peers.
    ///
    /// Keep calling [`Ledger::tick`] until [`Ledger::settled`] returns `u64::MAX`. If the process
    /// ends earlier, peers must wait for the longest run before they reuse the permits.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::limit::Ledger;
    ///
    /// let mut ledger = Ledger::example(2, 10);
    /// assert!(ledger.begin_shutdown(Instant::default()).is_empty());
    /// assert_eq!(ledger.settled(), u64::MAX);
    /// ```
    pub fn begin_shutdown(&mut self, now: Instant) -> Vec<Envelope> {
        self.shutting_down = true;
        self.tick(now)
    }
}
