use std::time::Duration;

use super::{Order, Status};
use crate::clock::Instant;

/// A job on the machine.
pub(super) struct Task {
    pub(super) order: Order,
    pub(super) status: Status,
    pub(super) lease_end: Instant,
    pub(super) percent: u32,
    pub(super) done: Duration,
    counted: Instant,
}

impl Task {
    pub(super) fn new(order: Order, status: Status, now: Instant) -> Self {
        Self {
            lease_end: now + Duration::from_millis(order.lease_ms),
            order,
            status,
            percent: 100,
            done: Duration::ZERO,
            counted: now,
        }
    }

    /// Moves the work done forward to `now` and ends the job when its time or lease is over.
    pub(super) fn advance(&mut self, now: Instant) {
        if self.status != Status::Running {
            return;
        }
        let until = now.min(self.lease_end);
        self.done += until.since(self.counted) * self.percent / 100;
        self.counted = self.counted.max(until);
        let whole = Duration::from_millis(self.order.run_ms);
        if self.done >= whole {
            self.done = whole;
            self.status = Status::Succeeded;
        } else if now >= self.lease_end {
            self.status = Status::Expired;
        }
    }
}
