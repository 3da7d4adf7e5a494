use super::{Ledger, idle_loan};
use crate::clock::Instant;
use crate::fleet::TeamId;

impl Ledger {
    /// Returns whether [`Ledger::take`] would succeed, without counting as a try.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::TeamId;
    /// use coriandernotch::limit::Ledger;
    ///
    /// assert!(Ledger::example(2, 10).can_take(TeamId(0), Instant::default()));
    /// assert!(!Ledger::example(2, 10).can_take(TeamId(9), Instant::default()));
    /// ```
    pub fn can_take(&self, team: TeamId, now: Instant) -> bool {
        let Some(account) = self.accounts.get(team.index()) else {
            return false;
        };
        !self.retired
            && account.limit.is_some()
            && (account.idle() > 0 || idle_loan(&self.loans, account, now).is_some())
    }
}
