use std::task::{Context, Waker};

use slotmap::SecondaryMap;
use tokio_util::sync::CancellationToken;

use super::{Cause, Key, Ledger, LogThrottle, Port};
use crate::clock;

/// The ledger with the tasks that wait for its decisions.
#[derive(Debug)]
pub(super) struct Books {
    pub(super) ledger: Ledger,
    /// Port of each connection and what tells it that it must give way.
    pub(super) seats: SecondaryMap<Key, (Port, CancellationToken)>,
    /// Tasks that wait for bytes or a place.
    pub(super) waiting: Vec<Waker>,
    pub(super) throttle: LogThrottle,
}

impl Books {
    /// Wakes the task of `cx` when bytes or a place have been given back.
    pub(super) fn wait(&mut self, cx: &Context<'_>) {
        if !self.waiting.iter().any(|w| w.will_wake(cx.waker())) {
            self.waiting.push(cx.waker().clone());
        }
    }

    /// Tells the connections that must give way, and returns why, with what the log line of each says
    /// about earlier ones.
    pub(super) fn tell(&mut self) -> Vec<(Port, Cause, Option<u64>)> {
        let evicted = self.ledger.take_evicted();
        let told = evicted.into_iter().filter_map(|(key, cause)| {
            let (port, token) = self.seats.get(key)?;
            token.cancel();
            let unlogged = self.throttle.note(*port, cause, clock::now());
            Some((*port, cause, unlogged))
        });
        told.collect()
    }
}
