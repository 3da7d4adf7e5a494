use slotmap::SlotMap;

use super::entry::Entry;
use super::{
    Admission, CALL_BYTES, CONNECTION_BYTES, Cause, Decision, Key, Limits, Port, READ_BYTES, Stage,
};
use crate::clock::Instant;

/// Decides which connections are admitted, which bytes they get and which of them are evicted.
///
/// Bytes of a connection that is evicted count until it has given them back, so what is charged
/// never exceeds the limit, except by what [`Ledger::charge_decoded`] adds for requests that arrived completely and
/// by the connections of other ports than callers', which have a limit of their own.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    entries: SlotMap<Key, Entry>,
    /// Bytes of all connections.
    used: usize,
    /// Part of `used` that connections which are evicted are about to give back.
    leaving: usize,
    /// Calls that are passed on to targets.
    calls: usize,
    /// Connections that are evicted and have not been told.
    unreported: Vec<(Key, Cause)>,
}

impl Ledger {
    /// Makes a ledger without connections.
    ///
    /// ```
    /// use coriandernotch::clock;
    /// use coriandernotch::intake::{Admission, Ledger, Limits, Port, Decision};
    ///
    /// let now = clock::now();
    /// let mut ledger = Ledger::new(Limits::new(Some(160), None));
    /// let Admission::Admitted(key) = ledger.admit(Port::Callers, now) else { panic!() };
    /// assert_eq!(ledger.charge(key, 262_144, now), Decision::Granted);
    /// ledger.remove(key);
    /// assert_eq!(ledger.used(), 0);
    /// ```
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: SlotMap::with_key(),
            used: 0,
            leaving: 0,
            calls: 0,
            unreported: Vec::new(),
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the bytes that are charged.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of connections of a port.
    pub fn connections(&self, port: Port) -> usize {
        self.entries.values().filter(|g| g.port == port).count()
    }

    /// Returns what a connection is doing.
    pub fn stage(&self, key: Key) -> Option<Stage> {
        self.entries.get(key).map(|entry| entry.stage)
    }

    /// Takes the connections that must be closed since the last call.
    pub fn take_evicted(&mut self) -> Vec<(Key, Cause)> {
        std::mem::take(&mut self.unreported)
    }

    /// Asks for a place for a new connection. Where there is none, the one with the least
    /// progress is evicted.
    pub fn admit(&mut self, port: Port, now: Instant) -> Admission {
        let ours = || self.entries.values().filter(|g| g.port == port);
        let (present, leaving) = (
            ours().count(),
            ours().filter(|g| g.leaving.is_some()).count(),
        );
        let max = self.limits.connections_of(port);
        if present >= max {
            if present - leaving >= max
                && let Some(victim) = self.lowest_priority(now, |entry| entry.port == port)
            {
                self.evict(victim, Cause::Connections);
            }
            return Admission::Wait;
        }
        // Without answers to the platform's questions, the instance is taken for dead.
        if port == Port::Callers && !self.make_room(CONNECTION_BYTES, self.limits.bytes, now, None)
        {
            return Admission::Wait;
        }
        self.used += CONNECTION_BYTES;
        Admission::Admitted(self.entries.insert(Entry::new(port, now)))
    }

    /// Asks for bytes. Where there are none, the connections that make the least progress are evicted,
    /// which may be the one that asks. The last part of the budget goes to small requests only.
    pub fn charge(&mut self, key: Key, bytes: usize, now: Instant) -> Decision {
        let entry = self.entries.get_mut(key);
        let Some(entry) = entry.filter(|entry| entry.leaving.is_none()) else {
            return Decision::Refused;
        };
        let held = entry.held + bytes;
        entry.expected = entry.expected.max(held);
        let limit = match entry.is_large() {
            true => self.limits.bytes - self.limits.reserved_bytes,
            false => self.limits.bytes,
        };
        if held + CONNECTION_BYTES > limit {
            self.evict(key, Cause::Memory);
            return Decision::Refused;
        }
        let fits = self.make_room(bytes, limit, now, Some(key));
        let entry = &mut self.entries[key];
        if entry.leaving.is_some() {
            return Decision::Refused;
        }
        if !fits {
            entry.waits_since.get_or_insert(now);
            return Decision::Wait;
        }
        entry.waits_since = None;
        entry.held = held;
        self.used += bytes;
        Decision::Granted
    }

    /// Asks for room for a call that is passed on to a target, like [`Ledger::charge`] for bytes.
    pub fn begin_call(&mut self, key: Key, now: Instant) -> Decision {
        let entry = self.entries.get(key);
        if entry.is_none_or(|entry| entry.leaving.is_some()) {
            return Decision::Refused;
        }
        let fits = self.make_room(CALL_BYTES, self.limits.bytes, now, Some(key));
        let has_place = self.make_place_for_call(now);
        let entry = &mut self.entries[key];
        if entry.leaving.is_some() {
            return Decision::Refused;
        }
        if !fits || !has_place {
            return Decision::Wait;
        }
        entry.calls += 1;
        self.calls += 1;
        self.used += CALL_BYTES;
        Decision::Granted
    }

    /// Gives the room of a call back.
    pub fn end_call(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.calls > 0) else {
            return;
        };
        entry.calls -= 1;
        self.calls -= 1;
        self.used -= CALL_BYTES;
        if entry.leaving.is_some() {
            self.leaving -= CALL_BYTES;
        }
    }

    /// Returns whether a request that arrived completely may be decoded, which takes memory that is known
    /// only afterwards. Only requests that were decoded before exceed the budget, and they end.
    pub fn may_decode(&self) -> bool {
        self.used <= self.limits.bytes
    }

    /// Charges bytes that a request which arrived completely needs to be carried out, also over the
    /// limit: it is not refused any more.
    pub fn charge_decoded(&mut self, key: Key, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.held += bytes;
            self.used += bytes;
            if entry.leaving.is_some() {
                self.leaving += bytes;
            }
        }
    }

    /// Gives charged or adopted bytes back.
    pub fn release(&mut self, key: Key, bytes: usize) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let bytes = bytes.min(entry.held);
        entry.held -= bytes;
        self.used -= bytes;
        if entry.leaving.is_some() {
            self.leaving -= bytes;
        }
    }

    /// Notes bytes that arrived on a connection, and returns what it is doing.
    pub fn arrived(&mut self, key: Key, bytes: usize, now: Instant) -> Option<Stage> {
        let entry = self.entries.get_mut(key)?;
        entry.arrived(bytes, now);
        let stage = entry.stage;
        if stage == Stage::Head && entry.received > self.limits.head_bytes + READ_BYTES {
            self.evict(key, Cause::LongHead);
        }
        Some(stage)
    }

    /// Notes that a new connection was read and nothing had arrived.
    pub fn await_request(&mut self, key: Key, now: Instant) {
        let entry = self.entries.get_mut(key);
        if let Some(entry) = entry.filter(|entry| entry.stage == Stage::Unread) {
            entry.enter(Stage::Idle, now);
        }
    }

    /// Notes how long the body of a request is to be. No bytes are charged before they arrive, but a
    /// request that is to be large gets none of the reserve.
    pub fn declare(&mut self, key: Key, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.expected = entry.expected.max(bytes);
        }
    }

    /// Notes that the head of a request has arrived.
    pub fn open(&mut self, key: Key, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.exchanges += 1;
            let stage = match entry.multiplexed {
                true => Stage::Answer,
                false => Stage::Body,
            };
            entry.enter(stage, now);
        }
    }

    /// Notes that a request has arrived completely, or that another part bounds its body. Returns false if
    /// the connection is evicted: the request is still counted as arriving, and must not run.
    pub fn complete(&mut self, key: Key, now: Instant) -> bool {
        let entry = self.entries.get_mut(key);
        let Some(entry) = entry.filter(|entry| entry.leaving.is_none()) else {
            return false;
        };
        entry.enter(Stage::Answer, now);
        true
    }

    /// Notes that the exchange of a request has ended.
    pub fn close(&mut self, key: Key, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.exchanges = entry.exchanges.saturating_sub(1);
            if entry.exchanges == 0 {
                entry.enter(Stage::Idle, now);
            }
        }
    }

    /// Notes that a connection carries several exchanges at once, whose heads another part bounds.
    pub fn multiplex(&mut self, key: Key, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.multiplexed = true;
            if entry.exchanges == 0 {
                entry.enter(Stage::Idle, now);
            }
        }
    }

    /// Notes whether the client leaves a part of an answer untaken.
    pub fn set_blocked(&mut self, key: Key, blocked: bool, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            let since = entry.blocked_since.unwrap_or(now);
            entry.blocked_since = blocked.then_some(since);
        }
    }

    /// Evicts the connections whose time is over.
    pub fn sweep(&mut self, now: Instant) {
        let entries = self.entries.iter();
        let overdue: Vec<(Key, Cause)> = entries
            .filter_map(|(key, entry)| Some((key, entry.overdue(&self.limits, now)?)))
            .collect();
        for (key, cause) in overdue {
            self.evict(key, cause);
        }
    }

    /// Removes a connection that has ended, with all of its bytes.
    pub fn remove(&mut self, key: Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.used -= entry.bytes();
            self.calls -= entry.calls;
            if entry.leaving.is_some() {
                self.leaving -= entry.bytes();
            }
        }
    }

    /// Evicts connections until `bytes` fit under `limit` once those have given theirs back,
    /// and returns whether `bytes` fit at once. Stops at the connection that asks.
    fn make_room(&mut self, bytes: usize, limit: usize, now: Instant, asks: Option<Key>) -> bool {
        while self.used - self.leaving + bytes > limit {
            let Some(victim) = self.lowest_priority(now, Entry::is_evictable_for_bytes) else {
                return false;
            };
            if asks == Some(victim) {
                // CompleteBody requests, which hold the rest, end soon.
                let contenders = self.entries.values().filter(|g| g.is_evictable_for_bytes());
                if contenders.filter(|g| g.priority(now).is_some()).count() > 1 {
                    self.evict(victim, Cause::Memory);
                }
                return false;
            }
            self.evict(victim, Cause::Memory);
        }
        self.used + bytes <= limit
    }

    /// Evicts a connection with calls if there are too many and none of them is about to end, and
    /// returns whether there is a place for another call at once.
    fn make_place_for_call(&mut self, now: Instant) -> bool {
        if self.calls < self.limits.calls {
            return true;
        }
        let mut entries = self.entries.values();
        let is_ending = entries.any(|entry| entry.leaving.is_some() && entry.calls > 0);
        if !is_ending && let Some(victim) = self.lowest_priority(now, |entry| entry.calls > 0) {
            self.evict(victim, Cause::Connections);
        }
        false
    }

    /// Returns the connection that makes the least progress.
    fn lowest_priority(&self, now: Instant, considered: impl Fn(&Entry) -> bool) -> Option<Key> {
        let entries = self.entries.iter().filter(|(_, entry)| considered(entry));
        entries
            .filter_map(|(key, entry)| Some((entry.priority(now)?, key)))
            .min()
            .map(|(_, key)| key)
    }

    fn evict(&mut self, key: Key, cause: Cause) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.leaving.is_none() {
            entry.leaving = Some(cause);
            self.leaving += entry.bytes();
            self.unreported.push((key, cause));
        }
    }
}
