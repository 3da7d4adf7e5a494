use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use tokio::sync::Notify;

use crate::holds::Holds;
use crate::leader_write::LeaderWrite;
use crate::mode::Mode;
use crate::standin::serve;
use crate::store_state::State;

/// Largest content of a row, in bytes.
pub(crate) const MAX_ROW_BYTES: usize = 65_536;

/// Stand-in of the store of the platform.
#[derive(Clone, Default)]
pub(crate) struct Store {
    pub(crate) state: Arc<Mutex<State>>,
    /// Notified of each change.
    pub(crate) changed: Arc<Notify>,
    pub(crate) holds: Holds,
}

impl Store {
    pub(crate) async fn start(&self) -> SocketAddr {
        let store = self.clone();
        serve(move |call| {
            let store = store.clone();
            async move { store.respond(call).await }
        })
        .await
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    pub(crate) fn discard_history(&self) {
        let mut state = self.state.lock().unwrap();
        state.discarded = state.version;
        state.history.clear();
    }

    /// Discards the history together with a change that no reader has seen, so that the feeds of all
    /// tables must be read again.
    pub(crate) fn expire_feeds(&self) {
        self.state.lock().unwrap().version += 1;
        self.discard_history();
        self.changed.notify_waiters();
    }

    /// Refuses the feed of one table, or of none.
    pub(crate) fn set_failing_feed(&self, table: Option<&'static str>) {
        self.state.lock().unwrap().failing_feed = table;
    }

    /// Sets the time after which transactions that store jobs are applied. Their callers get no
    /// answer. `None` ends this for later ones.
    pub(crate) fn delay_submissions(&self, delay: Option<Duration>) {
        self.state.lock().unwrap().submission_delay = delay;
    }

    /// Sets the time that each read of rows takes.
    pub(crate) fn set_read_time(&self, time: Duration) {
        self.state.lock().unwrap().read_time = time;
    }

    /// Sets the time that each transaction that stores progress takes. It is carried out also if its
    /// caller has gone.
    pub(crate) fn set_progress_write_time(&self, time: Duration) {
        self.state.lock().unwrap().progress_write_time = time;
    }

    /// Returns the number of transactions that store progress and were received.
    pub(crate) fn progress_writes(&self) -> u64 {
        self.state.lock().unwrap().progress_writes
    }

    /// Writes a row like an operator or a worker, outside of any partition.
    pub(crate) fn write(&self, table: &str, key: &str, value: &Value) {
        self.write_raw(table, key, value.to_string().as_bytes());
    }

    pub(crate) fn write_raw(&self, table: &str, key: &str, value: &[u8]) {
        self.write_in_partition(table, "", key, value);
    }

    pub(crate) fn write_in_partition(&self, table: &str, part: &str, key: &str, value: &[u8]) {
        assert!(value.len() <= MAX_ROW_BYTES, "the store takes no such row");
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let key = (table.into(), part.into(), key.into());
        state.put(key, STANDARD.encode(value));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Deletes a row outside of any partition, as the store does when a registration expires.
    pub(crate) fn remove(&self, table: &str, key: &str) {
        self.remove_in_partition(table, "", key);
    }

    pub(crate) fn remove_in_partition(&self, table: &str, part: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let (version, key) = (state.version, (table.into(), part.into(), key.into()));
        state.rows.remove(&key);
        state.history.push((version, key, true));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Reads a row of any partition. `None` if there is none.
    pub(crate) fn read(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        let row = state
            .rows
            .iter()
            .find(|((t, _, k), _)| t == table && k == key)?;
        serde_json::from_slice(&STANDARD.decode(&row.1.0).unwrap()).ok()
    }

    /// Returns the names of the partitions of a table that have rows, in their order.
    pub(crate) fn partitions(&self, table: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let parts = state.rows.keys().filter(|(t, ..)| t == table);
        let mut parts: Vec<String> = parts.map(|(_, part, _)| part.clone()).collect();
        parts.dedup();
        parts
    }

    /// Returns all writes of the leader row, in their order.
    pub(crate) fn leader_writes(&self) -> Vec<LeaderWrite> {
        self.state.lock().unwrap().leader_writes.clone()
    }

    /// Refuses all transactions that put a row with a key, like rows that are too large.
    pub(crate) fn refuse_key(&self, key: &str) {
        key.clone_into(&mut self.state.lock().unwrap().refused_key);
    }

    /// Refuses all transactions that delete a job.
    pub(crate) fn refuse_deletion(&self, job: &str) {
        job.clone_into(&mut self.state.lock().unwrap().refused_deletion);
    }

    /// Returns the number of transactions that were refused for good.
    pub(crate) fn refused(&self) -> u64 {
        self.state.lock().unwrap().refused
    }

    pub(crate) fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }
}
