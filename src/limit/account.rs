use std::time::Duration;

use super::{LoanId, TermsId};
use crate::clock::Instant;

/// Length of one window of the demand measurement; recent demand covers one to two windows.
///
/// With 1 s, permits of peers whose demand had just ended reached a busy instance only after 2 s.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// Time after which a reported number of waiting units is no longer used.
const WAITING_COUNT_TTL: Duration = Duration::from_secs(1);

/// Permits and demand of one workspace at one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Permits of this instance: its smallest quota over all versions that may be in force.
    pub(super) quota: u32,
    /// Fleet-wide limit in the newest version; `None` when the workspace is not in it.
    pub(super) limit: Option<u32>,
    /// Permits of the quota that are in use at this instance.
    pub(super) quota_in_use: u32,
    /// Permits of the quota that are counted as in use by borrowers.
    pub(super) lent: u32,
    /// Loans received from peers.
    pub(super) loans: Vec<LoanId>,
    /// Permits in use under loans.
    pub(super) borrowed_in_use: u32,
    /// Index in `loans` of the loan from which a permit was last taken.
    pub(super) last_loan_index: usize,
    /// Newest terms that changed the quota of this workspace at any instance.
    pub(super) moved_by: TermsId,
    /// When permits were last requested from peers.
    pub(super) asked_at: Option<Instant>,
    /// Units that wait for a permit, as last reported.
    waiting: u32,
    /// When `waiting` was reported.
    waiting_at: Instant,
    /// Peak demand in the current window and in the one before.
    peaks: [u32; 2],
    /// When the current window began.
    window_start: Instant,
}

impl Account {
    /// Returns how many units run at this instance.
    pub(super) fn running(&self) -> u32 {
        self.quota_in_use + self.borrowed_in_use
    }

    /// Returns how many permits of the quota are neither in use nor lent.
    pub(super) fn idle(&self) -> u32 {
        self.quota.saturating_sub(self.quota_in_use + self.lent)
    }

    /// Records how many units wait for a permit.
    pub(super) fn set_waiting(&mut self, count: u32, now: Instant) {
        self.waiting = count;
        self.waiting_at = now;
        self.update_peak(now);
    }

    /// Returns how many units wait for a permit; 0 when the last report is too old.
    pub(super) fn waiting(&self, now: Instant) -> u32 {
        if now.since(self.waiting_at) < WAITING_COUNT_TTL {
            self.waiting
        } else {
            0
        }
    }

    /// Records that a waiting unit got a permit.
    pub(super) fn record_served(&mut self, now: Instant) {
        self.waiting = self.waiting.saturating_sub(1);
        self.update_peak(now);
    }

    /// Returns the maximum number of units that ran or waited at the same time in the last one to
    /// two windows.
    pub(super) fn recent_peak(&self, now: Instant) -> u32 {
        let age = now.since(self.window_start);
        let peak = if age < DEMAND_WINDOW {
            self.peaks[0].max(self.peaks[1])
        } else if age < DEMAND_WINDOW * 2 {
            self.peaks[0]
        } else {
            0
        };
        peak.max(self.running() + self.waiting(now))
    }

    fn update_peak(&mut self, now: Instant) {
        let age = now.since(self.window_start);
        if age >= DEMAND_WINDOW {
            let previous = if age < DEMAND_WINDOW * 2 {
                self.peaks[0]
            } else {
                0
            };
            self.peaks = [0, previous];
            self.window_start = now;
        }
        self.peaks[0] = self.peaks[0].max(self.running() + self.waiting(now));
    }
}
