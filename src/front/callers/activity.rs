use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use slotmap::{DefaultKey, SlotMap};
use tokio::time::Instant;

use super::Limits;
use super::bound::Bound;

/// What one caller's connection is doing, for its bounds in time.
///
/// hyper bounds neither an answer that the caller does not take nor a connection that never sends
/// a request, and its bound for headers also runs while a connection is idle.
#[derive(Debug)]
pub(super) struct Activity(Mutex<State>);

#[derive(Debug)]
struct State {
    /// Open exchanges, with the time since when the caller has an untaken part of the answer.
    exchanges: SlotMap<DefaultKey, Option<Instant>>,
    /// When the last exchange ended.
    idle_since: Instant,
    /// When the first byte of the next request arrived.
    head_since: Option<Instant>,
}

impl Activity {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self(Mutex::new(State {
            exchanges: SlotMap::new(),
            idle_since: Instant::now(),
            head_since: None,
        })))
    }

    /// Notes that bytes of an HTTP/1 caller arrived.
    pub(super) fn read(&self) {
        let mut state = self.lock();
        if state.exchanges.is_empty() {
            state.head_since.get_or_insert_with(Instant::now);
        }
    }

    /// Notes that the caller turned out to speak HTTP/2, which sends other bytes than requests.
    pub(super) fn forget_head(&self) {
        self.lock().head_since = None;
    }

    /// Opens an exchange; it ends when the result is dropped.
    pub(super) fn open(self: &Arc<Self>) -> Exchange {
        let mut state = self.lock();
        state.head_since = None;
        Exchange {
            activity: self.clone(),
            key: state.exchanges.insert(None),
        }
    }

    /// Compares with the bounds.
    pub(super) fn check(&self, limits: &Limits) -> Bound {
        let state = self.lock();
        let passed = |since: Instant, limit: Duration| since.elapsed() >= limit;
        let mut untaken = state.exchanges.values().flatten();
        if untaken.any(|since| passed(*since, limits.stall_timeout)) {
            return Bound::Stalled;
        }
        match state.head_since {
            _ if !state.exchanges.is_empty() => Bound::Kept,
            Some(since) if passed(since, limits.header_timeout) => Bound::Stalled,
            None if passed(state.idle_since, limits.idle_timeout) => Bound::Idle,
            _ => Bound::Kept,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("activity lock")
    }
}

/// An open exchange of a connection.
#[derive(Debug)]
pub(super) struct Exchange {
    activity: Arc<Activity>,
    key: DefaultKey,
}

impl Exchange {
    /// Notes that the caller has a part of the answer to take, or that all parts were taken.
    pub(super) fn set_untaken(&self, untaken: bool) {
        let since = untaken.then(Instant::now);
        if let Some(place) = self.activity.lock().exchanges.get_mut(self.key) {
            *place = since;
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let mut state = self.activity.lock();
        state.exchanges.remove(self.key);
        state.idle_since = Instant::now();
    }
}
