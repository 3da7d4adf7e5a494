use std::cmp::Reverse;
use std::time::Duration;

use super::priority::Priority;
use super::{CALL_BYTES, CONNECTION_BYTES, Cause, Limits, Port, Progress, SMALL_BYTES, Stage};
use crate::clock::Instant;

/// Share of a request that stands for all of it.
const FULL_SHARE: usize = 1_024;

/// A request of which less than this share arrived lately has stalled. One of 262,144 bytes that
/// arrives evenly within the callers' 3 s still has a quarter at its end.
const STALLED_SHARE: usize = FULL_SHARE / 16;

/// Time without a request after which a connection is evicted before any that sends one, and time
/// after which an answer that is not taken counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Time for which a new connection is kept unless its request is large, so that those who connect
/// again and again do not drive out the others before their requests arrive.
const GRACE_TIME: Duration = Duration::from_millis(200);

/// A connection in the arena of the ledger.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) port: Port,
    admitted: Instant,
    pub(super) stage: Stage,
    stage_since: Instant,
    /// Bytes charged beyond those of the connection itself and of its calls.
    pub(super) held: usize,
    /// Calls that are passed on to targets.
    pub(super) calls: usize,
    /// Bytes that the present request is known to need, charged or not.
    pub(super) expected: usize,
    /// Bytes of the present request that arrived.
    pub(super) received: usize,
    progress: Progress,
    /// Exchanges that are open.
    pub(super) exchanges: u32,
    /// Whether several exchanges may be open at once, as in HTTP/2.
    pub(super) multiplexed: bool,
    /// Since when it waits for bytes of the budget.
    pub(super) waits_since: Option<Instant>,
    /// Since when the client takes no part of an answer.
    pub(super) blocked_since: Option<Instant>,
    /// Set once it must be closed.
    pub(super) leaving: Option<Cause>,
}

impl Entry {
    pub(super) fn new(port: Port, now: Instant) -> Self {
        Self {
            port,
            admitted: now,
            stage: Stage::Unread,
            stage_since: now,
            held: 0,
            calls: 0,
            expected: 0,
            received: 0,
            progress: Progress::new(now),
            exchanges: 0,
            multiplexed: false,
            waits_since: None,
            blocked_since: None,
            leaving: None,
        }
    }

    /// Returns all bytes that are charged.
    pub(super) fn bytes(&self) -> usize {
        CONNECTION_BYTES + self.held + self.calls * CALL_BYTES
    }

    pub(super) fn enter(&mut self, stage: Stage, now: Instant) {
        if stage == Stage::Idle {
            self.received = 0;
            self.expected = 0;
            self.progress = Progress::new(now);
        }
        self.waits_since = None;
        self.stage = stage;
        self.stage_since = now;
    }

    pub(super) fn arrived(&mut self, bytes: usize, now: Instant) {
        if matches!(self.stage, Stage::Unread | Stage::Idle) && !self.multiplexed {
            self.enter(Stage::Head, now);
        }
        self.received = self.received.saturating_add(bytes);
        self.progress.add(bytes, now);
    }

    /// Returns the priority, or `None` if it must not be evicted.
    pub(super) fn priority(&self, now: Instant) -> Option<Priority> {
        if self.leaving.is_some() {
            return None;
        }
        if let Some(since) = self.blocked_since {
            // An answer is being written, also after its exchange has ended.
            let stalled = now.since(since) >= STALL_TIME;
            return stalled.then_some(Priority::Stalled(0, since));
        }
        if now.since(self.admitted) < GRACE_TIME && !self.is_large() {
            return None;
        }
        match self.stage {
            Stage::Unread | Stage::Answer => None,
            Stage::Idle if now.since(self.stage_since) >= STALL_TIME => {
                Some(Priority::Idle(self.stage_since))
            }
            Stage::Idle => Some(Priority::New(Reverse(self.admitted))),
            Stage::Head | Stage::Body => {
                // A request that waits for bytes of the budget does not stall by itself.
                let share = self.share(self.waits_since.unwrap_or(now));
                if share < STALLED_SHARE {
                    Some(Priority::Stalled(share, self.stage_since))
                } else if self.is_large() {
                    Some(Priority::Large(share, Reverse(self.admitted)))
                } else {
                    Some(Priority::Small(share, Reverse(self.admitted)))
                }
            }
        }
    }

    /// Returns whether the connection is closed where others need bytes. Idle ones of the platform and
    /// of operators are kept, since a health check on a closed connection counts as failed.
    pub(super) fn is_evictable_for_bytes(&self) -> bool {
        self.port == Port::Callers || !matches!(self.stage, Stage::Unread | Stage::Idle)
    }

    /// Returns whether the request is too large for the reserve.
    pub(super) fn is_large(&self) -> bool {
        self.expected > SMALL_BYTES
    }

    /// Returns the share of the request that arrived lately.
    fn share(&self, now: Instant) -> usize {
        let lately = self.progress.weigh(now).min(self.received);
        lately.saturating_mul(FULL_SHARE) / self.received.max(1)
    }

    /// Returns which limit in time has passed.
    pub(super) fn overdue(&self, limits: &Limits, now: Instant) -> Option<Cause> {
        let passed = |limit: Duration| now.since(self.stage_since) >= limit;
        let blocked = |since: Instant| now.since(since) >= limits.write_time;
        match self.stage {
            _ if self.leaving.is_some() => None,
            _ if self.blocked_since.is_some_and(blocked) => Some(Cause::UnreadAnswer),
            Stage::Unread | Stage::Idle if passed(limits.idle_time) => Some(Cause::Idle),
            Stage::Head if passed(limits.head_time) => Some(Cause::SlowHead),
            Stage::Body if passed(limits.body_time) => Some(match self.waits_since {
                Some(_) => Cause::Memory,
                None => Cause::SlowBody,
            }),
            Stage::Unread | Stage::Idle | Stage::Head | Stage::Body | Stage::Answer => None,
        }
    }
}
