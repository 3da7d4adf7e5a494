use std::task::{Context, Waker};

use slotmap::SecondaryMap;
use tokio_util::sync::CancellationToken;

use super::{Cause, Key, Ledger, LogThrottle, Port};
use crate::clock;

/// State of the registry: the ledger and the tasks that wait for its decisions.
#[derive(Debug)]
pub(super) struct State {
    pub(super) ledger: Ledger,
    /// Port of each connection and the token that tells its task to close it.
    pub(super) connections: SecondaryMap<Key, (Port, CancellationToken)>,
    /// Tasks that wait for bytes or a place.
    pub(super) waiting: Vec<Waker>,
    pub(super) throttle: LogThrottle,
}

impl State {
    /// Wakes the task of `cx` when bytes or a place have been given back.
    pub(super) fn wait(&mut self, cx: &Context<'_>) {
        if !self.waiting.iter().any(|w| w.will_wake(cx.waker())) {
            self.waiting.push(cx.waker().clone());
        }
    }

    /// Notifies the tasks of evicted connections, and returns the causes, with what the log line of each says
    /// about earlier ones.
    pub(super) fn notify_evicted(&mut self) -> Vec<(Port, Cause, Option<u64>)> {
        let evicted = self.ledger.take_evicted();
        let told = evicted.into_iter().filter_map(|(key, cause)| {
            let (port, token) = self.connections.get(key)?;
            token.cancel();
            let unlogged = self.throttle.note(*port, cause, clock::now());
            Some((*port, cause, unlogged))
        });
        told.collect()
    }
}
