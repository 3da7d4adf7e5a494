use super::Ledger;
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::WorkspaceId;
use crate::limit::account::Account;
use crate::limit::{Denial, Loan, LoanId, Permit, Source};

impl Ledger {
    /// Takes a permit: from the quota if one is idle, otherwise from a loan.
    ///
    /// When all permits are in use, the caller counts as at least one waiting unit; see
    /// [`Ledger::set_waiting`].
    ///
    /// # Errors
    ///
    /// Returns the reason why no permit is available. After [`Denial::Exhausted`], [`Ledger::tick`]
    /// returns borrow requests to send.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::{Denial, Ledger};
    ///
    /// let (workspace, now) = (WorkspaceId(0), Instant::default());
    /// let mut ledger = Ledger::example(2, 2);
    /// let permit = ledger.take(workspace, now).unwrap();
    /// assert_eq!(ledger.take(workspace, now), Err(Denial::Exhausted));
    /// ledger.release(permit);
    /// assert!(ledger.take(workspace, now).is_ok());
    /// ```
    pub fn take(&mut self, workspace: WorkspaceId, now: Instant) -> Result<Permit, Denial> {
        if self.shutting_down {
            return Err(Denial::ShuttingDown);
        }
        let account = self.accounts.get_mut(workspace.index());
        let account = account.ok_or(Denial::UnknownWorkspace)?;
        account.limit.ok_or(Denial::UnknownWorkspace)?;
        let source = if account.idle() > 0 {
            account.quota_in_use += 1;
            Source::Quota
        } else if let Some((index, id)) = idle_loan(&self.loans, account, now) {
            account.last_loan_index = index;
            account.borrowed_in_use += 1;
            self.loans.entry(id).and_modify(|l| l.used += 1);
            Source::Loan(id)
        } else {
            let waiting = account.waiting(now).max(1);
            account.set_waiting(waiting, now);
            return Err(Denial::Exhausted);
        };
        account.record_served(now);
        Ok(Permit { workspace, source })
    }

    /// Returns the time by which a unit that is started now must have ended.
    ///
    /// Call this immediately before the start: since the permit was taken, the quota may have
    /// shrunk or the loan may have expired, for example while this process was paused.
    ///
    /// # Errors
    ///
    /// Returns the reason why the unit must not start; the caller then gives the permit back.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::Ledger;
    ///
    /// let now = Instant::default();
    /// let mut ledger = Ledger::example(2, 10);
    /// let permit = ledger.take(WorkspaceId(0), now).unwrap();
    /// assert_eq!(ledger.check(permit, now), Ok(now + Duration::from_secs(30)));
    /// ```
    pub fn check(&self, permit: Permit, now: Instant) -> Result<Instant, Denial> {
        let account = self.accounts.get(permit.workspace.index());
        let account = account.ok_or(Denial::UnknownWorkspace)?;
        match permit.source {
            Source::Quota if account.quota_in_use + account.lent <= account.quota => {
                Ok(now + self.longest_run())
            }
            Source::Quota => Err(Denial::Shrunk),
            Source::Loan(id) => match self.loans.get(&id) {
                Some(loan) if loan.used <= loan.usable(now) => Ok(now + loan.max_run),
                _ => Err(Denial::Lapsed),
            },
        }
    }

    /// Gives a permit back, when its unit has ended or was not started.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::Ledger;
    ///
    /// let mut ledger = Ledger::example(2, 10);
    /// let permit = ledger.take(WorkspaceId(0), Instant::default()).unwrap();
    /// ledger.release(permit);
    /// assert_eq!(ledger.running(WorkspaceId(0)), 0);
    /// ```
    pub fn release(&mut self, permit: Permit) {
        let Some(account) = self.accounts.get_mut(permit.workspace.index()) else {
            return;
        };
        match permit.source {
            Source::Quota => account.quota_in_use = account.quota_in_use.saturating_sub(1),
            Source::Loan(id) => {
                if let Some(loan) = self.loans.get_mut(&id).filter(|l| l.used > 0) {
                    loan.used -= 1;
                    account.borrowed_in_use -= 1;
                }
            }
        }
    }

    /// Records how many units of a workspace wait for a permit, which determines how many permits
    /// to borrow.
    ///
    /// The count expires after a second, so a queue with waiting units must report it again.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::Ledger;
    ///
    /// let (workspace, now) = (WorkspaceId(0), Instant::default());
    /// let mut ledger = Ledger::example(2, 10);
    /// while ledger.take(workspace, now).is_ok() {}
    /// ledger.set_waiting(workspace, 5, now);
    /// assert_eq!(ledger.tick(now).len(), 1);
    /// ```
    pub fn set_waiting(&mut self, workspace: WorkspaceId, count: u32, now: Instant) {
        if let Some(account) = self.accounts.get_mut(workspace.index()) {
            account.set_waiting(count, now);
        }
    }

    /// Returns whether [`Ledger::take`] would succeed, without counting as demand.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::limit::Ledger;
    ///
    /// assert!(Ledger::example(2, 10).can_take(WorkspaceId(0), Instant::default()));
    /// assert!(!Ledger::example(2, 10).can_take(WorkspaceId(9), Instant::default()));
    /// ```
    pub fn can_take(&self, workspace: WorkspaceId, now: Instant) -> bool {
        let Some(account) = self.accounts.get(workspace.index()) else {
            return false;
        };
        !self.shutting_down
            && account.limit.is_some()
            && (account.idle() > 0 || idle_loan(&self.loans, account, now).is_some())
    }
}

/// Finds a loan with an idle permit, beginning with the loan last taken from.
fn idle_loan(
    loans: &Map<LoanId, Loan>,
    account: &Account,
    now: Instant,
) -> Option<(usize, LoanId)> {
    let count = account.loans.len();
    (account.last_loan_index..account.last_loan_index + count)
        .map(|i| (i % count, account.loans[i % count]))
        .find(|(_, id)| loans.get(id).is_some_and(|l| l.used < l.usable(now)))
}
