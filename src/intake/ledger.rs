use slotmap::SlotMap;

use super::guest::Guest;
use super::{
    Admission, CONNECTION_BYTES, Cause, Key, Limits, Port, READ_BYTES, SMALL_BYTES, Stage, Verdict,
};
use crate::clock::Instant;

/// Decides which connections are admitted, which bytes they get and which of them give way.
///
/// Bytes of a connection that gives way count until it has given them back, so what is charged
/// never exceeds the limit, except by what [`Ledger::adopt`] adds for requests that arrived whole and
/// by the connections of other ports than callers', which have a limit of their own.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    guests: SlotMap<Key, Guest>,
    /// Bytes of all connections.
    used: usize,
    /// Part of `used` that connections which give way are about to give back.
    leaving: usize,
    /// Connections that give way and have not been told.
    untold: Vec<(Key, Cause)>,
}

impl Ledger {
    /// Makes a ledger without connections.
    ///
    /// ```
    /// use coriandernotch::clock;
    /// use coriandernotch::intake::{Admission, Ledger, Limits, Port, Verdict};
    ///
    /// let now = clock::now();
    /// let mut ledger = Ledger::new(Limits::new(Some(160), None));
    /// let Admission::Admitted(key) = ledger.admit(Port::Callers, now) else { panic!() };
    /// assert_eq!(ledger.charge(key, 262_144, now), Verdict::Granted);
    /// ledger.remove(key);
    /// assert_eq!(ledger.used(), 0);
    /// ```
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            guests: SlotMap::with_key(),
            used: 0,
            leaving: 0,
            untold: Vec::new(),
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
        self.guests.values().filter(|g| g.port == port).count()
    }

    /// Returns what a connection is doing.
    pub fn stage(&self, key: Key) -> Option<Stage> {
        self.guests.get(key).map(|guest| guest.stage)
    }

    /// Takes the connections that must give way since the last call.
    pub fn take_evicted(&mut self) -> Vec<(Key, Cause)> {
        std::mem::take(&mut self.untold)
    }

    /// Asks for a place for a new connection. Where there is none, the one that makes the least
    /// progress gives way.
    pub fn admit(&mut self, port: Port, now: Instant) -> Admission {
        let ours = || self.guests.values().filter(|g| g.port == port);
        let (present, leaving) = (
            ours().count(),
            ours().filter(|g| g.leaving.is_some()).count(),
        );
        let max = self.limits.connections_of(port);
        if present >= max {
            if present - leaving >= max
                && let Some(victim) = self.least(now, |guest| guest.port == port)
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
        Admission::Admitted(self.guests.insert(Guest::new(port, now)))
    }

    /// Asks for bytes. Where there are none, the connections that make the least progress give way,
    /// which may be the one that asks. The last part of the budget goes to small requests only.
    pub fn charge(&mut self, key: Key, bytes: usize, now: Instant) -> Verdict {
        let Some(guest) = self.guests.get(key).filter(|g| g.leaving.is_none()) else {
            return Verdict::Refused;
        };
        let held = guest.held + bytes;
        let limit = match held <= SMALL_BYTES {
            true => self.limits.bytes,
            false => self.limits.bytes - self.limits.reserved_bytes,
        };
        if held + CONNECTION_BYTES > limit {
            self.evict(key, Cause::Memory);
            return Verdict::Refused;
        }
        let fits = self.make_room(bytes, limit, now, Some(key));
        let guest = &mut self.guests[key];
        if guest.leaving.is_some() {
            return Verdict::Refused;
        }
        if !fits {
            guest.waits_since.get_or_insert(now);
            return Verdict::Wait;
        }
        guest.waits_since = None;
        guest.held = held;
        self.used += bytes;
        Verdict::Granted
    }

    /// Returns whether a request that arrived whole may be decoded, which takes memory that is known
    /// only afterwards. Only requests that were decoded before exceed the budget, and they end.
    pub fn may_adopt(&self) -> bool {
        self.used <= self.limits.bytes
    }

    /// Charges bytes that a request which arrived whole needs to be carried out, also over the
    /// limit: it is not refused any more.
    pub fn adopt(&mut self, key: Key, bytes: usize) {
        if let Some(guest) = self.guests.get_mut(key) {
            guest.held += bytes;
            self.used += bytes;
            if guest.leaving.is_some() {
                self.leaving += bytes;
            }
        }
    }

    /// Gives charged or adopted bytes back.
    pub fn release(&mut self, key: Key, bytes: usize) {
        let Some(guest) = self.guests.get_mut(key) else {
            return;
        };
        let bytes = bytes.min(guest.held);
        guest.held -= bytes;
        self.used -= bytes;
        if guest.leaving.is_some() {
            self.leaving -= bytes;
        }
    }

    /// Notes bytes that arrived on a connection, and returns what it is doing.
    pub fn arrived(&mut self, key: Key, bytes: usize, now: Instant) -> Option<Stage> {
        let guest = self.guests.get_mut(key)?;
        guest.arrived(bytes, now);
        let stage = guest.stage;
        if stage == Stage::Head && guest.received > self.limits.head_bytes + READ_BYTES {
            self.evict(key, Cause::LongHead);
        }
        Some(stage)
    }

    /// Notes that the head of a request has arrived.
    pub fn open(&mut self, key: Key, now: Instant) {
        if let Some(guest) = self.guests.get_mut(key) {
            guest.exchanges += 1;
            let stage = match guest.multiplexed {
                true => Stage::Answer,
                false => Stage::Body,
            };
            guest.enter(stage, now);
        }
    }

    /// Notes that a request has arrived whole, or that another part bounds its body. Returns false if
    /// the connection gives way: the request is still counted as arriving, and must not run.
    pub fn complete(&mut self, key: Key, now: Instant) -> bool {
        let guest = self.guests.get_mut(key);
        let Some(guest) = guest.filter(|guest| guest.leaving.is_none()) else {
            return false;
        };
        guest.enter(Stage::Answer, now);
        true
    }

    /// Notes that the exchange of a request has ended.
    pub fn close(&mut self, key: Key, now: Instant) {
        if let Some(guest) = self.guests.get_mut(key) {
            guest.exchanges = guest.exchanges.saturating_sub(1);
            if guest.exchanges == 0 {
                guest.enter(Stage::Idle, now);
            }
        }
    }

    /// Notes that a connection carries several exchanges at once, whose heads another part bounds.
    pub fn multiplex(&mut self, key: Key, now: Instant) {
        if let Some(guest) = self.guests.get_mut(key) {
            guest.multiplexed = true;
            if guest.exchanges == 0 {
                guest.enter(Stage::Idle, now);
            }
        }
    }

    /// Notes whether the client leaves a part of an answer untaken.
    pub fn set_blocked(&mut self, key: Key, blocked: bool, now: Instant) {
        if let Some(guest) = self.guests.get_mut(key) {
            let since = guest.blocked_since.unwrap_or(now);
            guest.blocked_since = blocked.then_some(since);
        }
    }

    /// Makes the connections give way whose time is over.
    pub fn sweep(&mut self, now: Instant) {
        let guests = self.guests.iter();
        let overdue: Vec<(Key, Cause)> = guests
            .filter_map(|(key, guest)| Some((key, guest.overdue(&self.limits, now)?)))
            .collect();
        for (key, cause) in overdue {
            self.evict(key, cause);
        }
    }

    /// Removes a connection that has ended, with all of its bytes.
    pub fn remove(&mut self, key: Key) {
        if let Some(guest) = self.guests.remove(key) {
            self.used -= guest.bytes();
            if guest.leaving.is_some() {
                self.leaving -= guest.bytes();
            }
        }
    }

    /// Makes connections give way until `bytes` fit under `limit` once those have given theirs back,
    /// and returns whether `bytes` fit at once. Stops at the connection that asks.
    fn make_room(&mut self, bytes: usize, limit: usize, now: Instant, asks: Option<Key>) -> bool {
        while self.used - self.leaving + bytes > limit {
            let Some(victim) = self.least(now, Guest::gives_way_for_bytes) else {
                return false;
            };
            if asks == Some(victim) {
                // Whole requests, which hold the rest, end soon.
                let contenders = self.guests.values().filter(|g| g.gives_way_for_bytes());
                if contenders.filter(|g| g.rank(now).is_some()).count() > 1 {
                    self.evict(victim, Cause::Memory);
                }
                return false;
            }
            self.evict(victim, Cause::Memory);
        }
        self.used + bytes <= limit
    }

    /// Returns the connection that makes the least progress.
    fn least(&self, now: Instant, considered: impl Fn(&Guest) -> bool) -> Option<Key> {
        let guests = self.guests.iter().filter(|(_, guest)| considered(guest));
        guests
            .filter_map(|(key, guest)| Some((guest.rank(now)?, key)))
            .min()
            .map(|(_, key)| key)
    }

    fn evict(&mut self, key: Key, cause: Cause) {
        let Some(guest) = self.guests.get_mut(key) else {
            return;
        };
        if guest.leaving.is_none() {
            guest.leaving = Some(cause);
            self.leaving += guest.bytes();
            self.untold.push((key, cause));
        }
    }
}
