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
    start: Instant,
    /// When it ended, which may be before that was noticed.
    end: Option<Instant>,
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
            start: now,
            end: (status != Status::Running).then_some(now),
        }
    }

    /// Ends the job in this state.
    pub(super) fn finish(&mut self, status: Status, at: Instant) {
        self.status = status;
        self.end = Some(at);
    }

    /// Returns when the job ran.
    pub(super) fn times(&self) -> (Instant, Option<Instant>) {
        (self.start, self.end)
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
            let late = (self.done - whole) * 100 / self.percent;
            self.done = whole;
            let start = self.start;
            let end = start + until.since(start).saturating_sub(late);
            self.finish(Status::Succeeded, end);
        } else if now >= self.lease_end {
            self.finish(Status::Expired, self.lease_end);
        }
    }
}
