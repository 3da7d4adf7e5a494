use std::time::Duration;

use super::phase::Phase;
use super::{Basis, LOAN_TERM, LoanId, PeerId, Request};
use crate::clock::Instant;
use crate::fleet::WorkspaceId;

/// Time to wait for the reply to a borrow request; an entry instance answers within milliseconds
/// unless the link is down.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum time between attempts to renew one loan.
const RENEWAL_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A loan as recorded by its borrower.
///
/// The borrower counts the term from its request and the lender from its reply, so the term ends
/// first at the borrower, whatever the network delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Loan {
    pub(super) lender: PeerId,
    pub(super) workspace: WorkspaceId,
    pub(super) phase: Phase,
    /// Permits usable now; the requested number while there is no reply.
    pub(super) amount: u32,
    /// Permits in use.
    pub(super) used: u32,
    /// Number of permits kept, as last reported to the lender.
    pub(super) reported_kept: u32,
    /// When the request for the current term was sent.
    pub(super) term_start: Instant,
    /// Longest run of a unit under this loan that the lender has accepted.
    pub(super) max_run: Duration,
    pub(super) basis: Basis,
    /// Whether the lender did not know terms that changed the quotas of this workspace.
    pub(super) stale: bool,
    /// Number, time and longest run of the last renewal request sent.
    pub(super) last_renewal: Option<(u32, Instant, Duration)>,
}

impl Loan {
    pub(super) fn requested(
        lender: PeerId,
        workspace: WorkspaceId,
        amount: u32,
        max_run: Duration,
        now: Instant,
    ) -> Self {
        Self {
            lender,
            workspace,
            phase: Phase::Requested,
            amount,
            used: 0,
            reported_kept: amount,
            term_start: now,
            max_run,
            basis: Basis::default(),
            stale: false,
            last_renewal: None,
        }
    }

    /// Returns the peer that lent the permits.
    pub fn lender(&self) -> PeerId {
        self.lender
    }

    /// Returns the workspace.
    pub fn workspace(&self) -> WorkspaceId {
        self.workspace
    }

    /// Returns how many permits are in use.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Returns how many permits may be in use at `now`.
    pub fn usable(&self, now: Instant) -> u32 {
        match self.phase {
            Phase::Active if !self.stale && now < self.term_start + LOAN_TERM => self.amount,
            Phase::Active | Phase::Requested | Phase::Closing => 0,
        }
    }

    /// Returns how many permits the lender must keep counting as lent.
    pub(super) fn kept(&self) -> u32 {
        match self.phase {
            Phase::Active => self.amount.max(self.used),
            Phase::Requested | Phase::Closing => self.used,
        }
    }

    /// Returns how many permits may be in use if the outstanding request succeeds.
    pub(super) fn expected(&self, now: Instant) -> u32 {
        match self.phase {
            Phase::Requested => self.amount,
            Phase::Active if now < self.term_start + LOAN_TERM => self.amount,
            Phase::Active | Phase::Closing => 0,
        }
    }

    /// Returns how many permits to keep when a renewal or return is due, or `None` otherwise.
    ///
    /// An expired loan with running units is renewed as long as the lender still counts it, so that
    /// the loan covers the units again; an expired loan without running units is returned.
    pub(super) fn keep_if_due(&mut self, need: u32, now: Instant) -> Option<u32> {
        let age = now.since(self.term_start);
        let abandoned = match self.phase {
            Phase::Requested => age >= REPLY_TIMEOUT,
            Phase::Active if self.used == 0 => age >= LOAN_TERM,
            Phase::Active => age >= LOAN_TERM + self.max_run,
            Phase::Closing => true,
        };
        if abandoned {
            self.phase = Phase::Closing;
            return (self.used == 0 || self.reported_kept > self.used).then_some(self.used);
        }
        if self.phase == Phase::Requested {
            return None;
        }
        let just_attempted = self
            .last_renewal
            .is_some_and(|a| now.since(a.1) < RENEWAL_RETRY_INTERVAL);
        if !just_attempted && (self.stale || age >= LOAN_TERM / 2) {
            self.amount = self.amount.min(need.max(self.used));
            return Some(self.kept());
        }
        (self.kept() < self.reported_kept).then_some(self.kept())
    }

    /// Records a renewal attempt and returns its request.
    pub(super) fn start_renewal(&mut self, id: LoanId, run: Duration, now: Instant) -> Request {
        let attempt = self.last_renewal.map_or(0, |a| a.0) + 1;
        self.last_renewal = Some((attempt, now, run));
        self.reported_kept = self.kept();
        Request::Renew {
            id,
            attempt,
            keep: self.reported_kept,
            run,
        }
    }
}
