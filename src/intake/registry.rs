use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use metrics::{counter, gauge};
use slotmap::SecondaryMap;
use strum::IntoEnumIterator;
use tokio_util::sync::CancellationToken;

use super::state::State;
use super::{
    Admission, Cause, Connection, Decision, Evicted, Key, Ledger, Limits, LogThrottle, Port,
};
use crate::clock;

/// Time between two looks for connections whose time is over.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The ledger of a process, shared by the tasks of its connections.
#[derive(Debug)]
pub struct Registry {
    state: Mutex<State>,
    limits: Limits,
}

impl Registry {
    /// Makes a registry without connections.
    ///
    /// ```
    /// use coriandernotch::intake::{Registry, Limits};
    ///
    /// assert_eq!(Registry::new(Limits::new(Some(160), None)).used(), 0);
    /// ```
    pub fn new(limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                ledger: Ledger::new(limits),
                connections: SecondaryMap::new(),
                waiting: Vec::new(),
                throttle: LogThrottle::default(),
            }),
            limits,
        })
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the bytes that are charged.
    pub fn used(&self) -> usize {
        self.state.lock().expect("intake lock").ledger.used()
    }

    /// Evicts connections whose time is over, until the process ends.
    pub async fn sweep(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            // An answer stalls by the passing of time, of which no other event tells those that wait.
            self.give_back(|ledger| ledger.sweep(clock::now()));
        }
    }

    /// Sets the gauges of what is in use.
    pub fn set_gauges(&self) {
        let state = self.state.lock().expect("intake lock");
        gauge!("intake_bytes").set(state.ledger.used() as f64);
        gauge!("intake_bytes_limit").set(self.limits.bytes as f64);
        for port in Port::iter() {
            let connections = state.ledger.connections(port);
            gauge!("connections", "port" => port.name()).set(connections as f64);
        }
    }

    /// Waits until a new connection has a place.
    pub async fn admit(self: &Arc<Self>, port: Port) -> Arc<Connection> {
        let (key, evicted) = std::future::poll_fn(|cx| self.poll_admit(port, cx)).await;
        Arc::new(Connection::new(self.clone(), key, evicted))
    }

    /// Waits until a port has no connections.
    pub async fn emptied(&self, port: Port) {
        std::future::poll_fn(|cx| self.poll_emptied(port, cx)).await;
    }

    fn poll_emptied(&self, port: Port, cx: &Context<'_>) -> Poll<()> {
        let mut state = self.state.lock().expect("intake lock");
        if state.ledger.connections(port) == 0 {
            return Poll::Ready(());
        }
        state.wait(cx);
        Poll::Pending
    }

    fn poll_admit(&self, port: Port, cx: &Context<'_>) -> Poll<(Key, CancellationToken)> {
        self.with_state(|state| match state.ledger.admit(port, clock::now()) {
            Admission::Admitted(key) => {
                let token = CancellationToken::new();
                state.connections.insert(key, (port, token.clone()));
                Poll::Ready((key, token))
            }
            Admission::Wait => {
                state.wait(cx);
                Poll::Pending
            }
        })
    }

    pub(super) fn poll_charge(
        &self,
        key: Key,
        bytes: usize,
        cx: &Context<'_>,
    ) -> Poll<Result<(), Evicted>> {
        self.poll_decision(cx, |ledger| ledger.charge(key, bytes, clock::now()))
    }

    pub(super) fn poll_begin_call(&self, key: Key, cx: &Context<'_>) -> Poll<Result<(), Evicted>> {
        self.poll_decision(cx, |ledger| ledger.begin_call(key, clock::now()))
    }

    fn poll_decision(
        &self,
        cx: &Context<'_>,
        decide: impl FnOnce(&mut Ledger) -> Decision,
    ) -> Poll<Result<(), Evicted>> {
        self.with_state(|state| match decide(&mut state.ledger) {
            Decision::Granted => Poll::Ready(Ok(())),
            Decision::Refused => Poll::Ready(Err(Evicted)),
            Decision::Wait => {
                state.wait(cx);
                Poll::Pending
            }
        })
    }

    /// Waits until a request that arrived completely may be decoded.
    pub(super) fn poll_may_decode(&self, cx: &Context<'_>) -> Poll<()> {
        let mut state = self.state.lock().expect("intake lock");
        if state.ledger.may_decode() {
            return Poll::Ready(());
        }
        state.wait(cx);
        Poll::Pending
    }

    /// Changes the ledger and tells the connections that must be closed.
    pub(super) fn with<R>(&self, change: impl FnOnce(&mut Ledger) -> R) -> R {
        self.with_state(|state| change(&mut state.ledger))
    }

    /// Gives bytes back by `change` and wakes the tasks that wait for them.
    pub(super) fn give_back(&self, change: impl FnOnce(&mut Ledger)) {
        let waiting = self.with_state(|state| {
            change(&mut state.ledger);
            std::mem::take(&mut state.waiting)
        });
        waiting.into_iter().for_each(std::task::Waker::wake);
    }

    pub(super) fn remove(&self, key: Key) {
        let mut state = self.state.lock().expect("intake lock");
        state.connections.remove(key);
        drop(state);
        self.give_back(|ledger| ledger.remove(key));
    }

    /// Counts and logs a connection whose head hyper found to be too long.
    pub(super) fn report_long_head(&self, port: Port) {
        let mut state = self.state.lock().expect("intake lock");
        let unlogged = state.throttle.note(port, Cause::LongHead, clock::now());
        let used = state.ledger.used();
        drop(state);
        report(port, Cause::LongHead, unlogged, used);
    }

    fn with_state<R>(&self, change: impl FnOnce(&mut State) -> R) -> R {
        let mut state = self.state.lock().expect("intake lock");
        let result = change(&mut state);
        let told = state.notify_evicted();
        // Those that wait may be among the evicted.
        let woken = match told.is_empty() {
            true => Vec::new(),
            false => std::mem::take(&mut state.waiting),
        };
        let used = state.ledger.used();
        drop(state);
        woken.into_iter().for_each(std::task::Waker::wake);
        for (port, cause, unlogged) in told {
            report(port, cause, unlogged, used);
        }
        result
    }
}

/// Counts a connection that is closed for a limit, and logs it if it gets a line.
fn report(port: Port, cause: Cause, unlogged: Option<u64>, used: usize) {
    counter!("connections_evicted_total", "port" => port.name(), "cause" => cause.name())
        .increment(1);
    let Some(unlogged) = unlogged else {
        return;
    };
    let (port, cause_name) = (port.name(), cause.name());
    match cause {
        Cause::Idle => {
            log::debug!(event = "connection-evicted", port, cause = cause_name, unlogged; "");
        }
        _ => log::warn!(event = "connection-evicted", port, cause = cause_name, unlogged,
            used; ""),
    }
}
