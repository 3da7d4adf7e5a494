use super::manager::Manager;
use super::{Ask, Stamp, Ticket, Verdict};

/// Attempt to claim; when it ends without the claim, what may still take effect is remembered.
pub(super) struct Attempt<'a> {
    manager: &'a Manager,
    ask: &'a Ask,
    operation: u64,
    now: Stamp,
    under_way: bool,
    lost: bool,
}

impl<'a> Attempt<'a> {
    pub(super) fn new(manager: &'a Manager, ask: &'a Ask, operation: u64, now: Stamp) -> Self {
        Self {
            manager,
            ask,
            operation,
            now,
            under_way: false,
            lost: false,
        }
    }

    /// Notes that a write is being sent.
    pub(super) fn send(&mut self) {
        self.under_way = true;
    }

    /// Notes that the write that was sent had no effect.
    pub(super) fn no_effect(&mut self) {
        self.under_way = false;
    }

    /// Notes that the write that was sent may take effect at any time.
    pub(super) fn lose(&mut self) {
        self.under_way = false;
        self.lost = true;
    }

    /// Ends with the claim in the row at `version`.
    pub(super) fn win(mut self, version: u64) -> Verdict {
        self.under_way = false;
        self.lost = false;
        Verdict::First(Ticket {
            row: self.ask.row.clone(),
            version,
            operation: self.operation,
            digest: self.ask.digest,
        })
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if self.under_way || self.lost {
            self.manager
                .abandon(self.operation, self.ask.row.clone(), self.now);
        }
    }
}
