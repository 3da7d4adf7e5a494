use std::time::Duration;

use super::Tenancy;
use crate::clock::Instant;

/// Time without a visible renewal after which another instance may take over.
const TAKEOVER_AFTER: Duration = Duration::from_millis(1_800);

/// Time after its last renewal for which a leader keeps giving orders. Workers reject them earlier
/// if a new leader has already sent them an order with a higher fencing token.
pub(super) const LEADER_ACTIVE_FOR: Duration = Duration::from_secs(10);

/// Time after its last renewal for which a leader gives orders about machines. They are not fenced,
/// so this is well below [`TAKEOVER_AFTER`].
const MACHINE_ORDERS_FOR: Duration = Duration::from_millis(1_000);

/// Time from the last renewal of one leader to the first order about machines by the next. The last
/// orders of the previous leader were sent at least 3.2 s before; orders of different leaders must
/// be 3 s apart.
const MACHINE_ORDERS_AFTER: Duration = Duration::from_millis(4_200);

/// Time after a leader made way for another instance from which any may take over.
const RESERVED_FOR: Duration = Duration::from_millis(800);

/// What an instance may do as leader or follower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Another instance leads.
    #[default]
    Follower,
    /// This instance leads, and its last renewal is recent enough for orders to workers.
    Leader,
    /// This instance must stop leading.
    Expired,
}

/// Leadership over all queues, as one instance sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Fencing token of the latest known leader.
    pub token: u64,
    /// When the leader's row in the store was last seen to change.
    changed_at: Instant,
    /// When this instance became leader; `None` while it is not.
    leading_since: Option<Instant>,
    /// When the last successful renewal was sent.
    renewed_at: Instant,
    /// Whether an instance leads.
    tenancy: Tenancy,
    /// When this leader may begin to give orders about machines.
    machine_orders_from: Instant,
}

impl Leadership {
    /// Records that the leader's row in the store changed.
    pub fn record_leader_row(&mut self, token: u64, tenancy: Tenancy, now: Instant) {
        (self.token, self.tenancy, self.changed_at) = (token, tenancy, now);
    }

    /// Records that the last renewal was sent `age` ago, according to a clock that all instances
    /// share.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::batch::{Leadership, Tenancy};
    /// use coriandernotch::clock::Instant;
    ///
    /// let now = Instant::from_start(Duration::from_secs(100));
    /// let mut leadership = Leadership::default();
    /// leadership.record_leader_row(1, Tenancy::Held, now);
    /// leadership.backdate_last_change(Duration::from_secs(4), now);
    /// assert!(leadership.may_become_leader(now));
    /// ```
    pub fn backdate_last_change(&mut self, age: Duration, now: Instant) {
        self.changed_at = self.changed_at.min(now - age);
    }

    /// Returns when the leader's row last changed, as far as this instance knows.
    pub fn last_change(&self) -> Instant {
        self.changed_at
    }

    /// Returns whether this instance may try to become leader.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::batch::{Leadership, Tenancy};
    /// use coriandernotch::clock::Instant;
    ///
    /// let now = Instant::from_start(Duration::from_secs(100));
    /// let mut leadership = Leadership::default();
    /// leadership.record_leader_row(1, Tenancy::Held, now);
    /// assert!(!leadership.may_become_leader(now + Duration::from_secs(1)));
    /// assert!(leadership.may_become_leader(now + Duration::from_secs(2)));
    /// ```
    pub fn may_become_leader(&self, now: Instant) -> bool {
        let wait = match self.tenancy {
            Tenancy::Held => TAKEOVER_AFTER,
            Tenancy::Reserved => RESERVED_FOR,
            Tenancy::Vacant => Duration::ZERO,
        };
        self.leading_since.is_none() && now.since(self.changed_at) >= wait
    }

    /// Records that this instance became leader by a write sent at `sent`.
    pub fn begin(&mut self, token: u64, sent: Instant) {
        self.machine_orders_from = self.changed_at + MACHINE_ORDERS_AFTER;
        (self.token, self.leading_since, self.renewed_at) = (token, Some(sent), sent);
        self.tenancy = Tenancy::Held;
    }

    /// Records a successful renewal sent at `sent`.
    pub fn renew(&mut self, sent: Instant) {
        self.renewed_at = self.renewed_at.max(sent);
    }

    /// Returns when the last successful renewal was sent.
    pub fn last_renewal(&self) -> Instant {
        self.renewed_at
    }

    /// Records that this instance no longer leads.
    pub fn end(&mut self, now: Instant) {
        (self.leading_since, self.changed_at) = (None, now);
    }

    /// Returns what this instance may currently do.
    pub fn standing(&self, now: Instant) -> Role {
        match self.leading_since {
            None => Role::Follower,
            Some(_) if now.since(self.renewed_at) > LEADER_ACTIVE_FOR => Role::Expired,
            Some(_) => Role::Leader,
        }
    }

    /// Returns when orders about machines may no longer be sent without another renewal.
    pub fn machine_orders_until(&self) -> Instant {
        self.renewed_at + MACHINE_ORDERS_FOR
    }

    /// Returns whether orders about machines may be sent, which are not protected by a fencing
    /// token.
    pub fn may_order_machines(&self, now: Instant) -> bool {
        self.leading_since.is_some()
            && now >= self.machine_orders_from
            && now < self.machine_orders_until()
    }
}
