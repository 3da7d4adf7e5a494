use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::holds::Holds;
use crate::leader_write::LeaderWrite;
use crate::mode::Mode;
use crate::moment::Moment;
use crate::standin::{Call, serve};

/// Largest content of a row, in bytes.
pub(crate) const MAX_ROW_BYTES: usize = 65_536;

/// Largest number of rows in a transaction, and its largest size in bytes.
const MAX_TRANSACTION_ROWS: usize = 100;
const MAX_TRANSACTION_BYTES: usize = 1_000_000;

/// In [`Mode::ShortOfReads`] each read with a multiple of this number is refused.
const READS_PER_REFUSAL: u64 = 20;

/// Table, partition and key of a row.
type Key = (String, String, String);

/// Stand-in of the store of the platform.
#[derive(Clone, Default)]
pub(crate) struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    pub(crate) holds: Holds,
}

#[derive(Default)]
struct State {
    /// Content in Base64 and version of each row.
    rows: BTreeMap<Key, (String, u64)>,
    /// Changes in order: version, key and whether the row was deleted.
    history: Vec<(u64, Key, bool)>,
    /// Changes up to this version are no longer in the history.
    discarded: u64,
    version: u64,
    mode: Mode,
    calls: u64,
    /// Table whose feed answers status 503.
    failing_feed: Option<&'static str>,
    /// Time that each read of rows takes.
    read_time: Duration,
    /// Number of transactions of partitions in [`Mode::ShortOfWrites`].
    partition_writes: u64,
    /// Time after which transactions that store jobs are applied without an answer, if it is set.
    submission_delay: Option<Duration>,
    /// Time that each transaction that stores progress takes, also if its caller has gone.
    progress_write_time: Duration,
    /// Number of transactions that store progress and were received.
    progress_writes: u64,
    /// Number of reads of rows in [`Mode::ShortOfReads`].
    reads: u64,
    /// Writes of the leader row, in their order.
    leader_writes: Vec<LeaderWrite>,
    /// Key of a row that transactions may not put, or an empty text.
    refused_key: String,
    /// Key of a job that transactions may not delete, or an empty text.
    refused_deletion: String,
    /// Number of transactions that were refused as too large or for their key.
    refused: u64,
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

    async fn respond(&self, call: Call) -> Option<(u16, String)> {
        let (mode, submission_delay) = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            (state.mode, state.submission_delay)
        };
        if let Some(delay) = submission_delay.filter(|_| stores_jobs(&call)) {
            let store = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                store.transact(&call);
            });
            return None;
        }
        match mode {
            Mode::Unavailable => return Some((503, "{}".into())),
            Mode::RateLimited => return Some((429, "{}".into())),
            Mode::Unresponsive => {
                tokio::time::sleep(Duration::from_secs(60)).await;
                return None;
            }
            Mode::SilentWrites if call.path == "/api/rows-tx" => {
                tokio::time::sleep(Duration::from_secs(60)).await;
                return None;
            }
            Mode::AppliedLate if call.path == "/api/rows-tx" => {
                let store = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(150)).await;
                    store.transact(&call);
                });
                return None;
            }
            Mode::ShortOfWrites if self.refuses_write(&call) => return Some((429, "{}".into())),
            Mode::ShortOfReads if self.refuses_read(&call) => return Some((429, "{}".into())),
            Mode::Normal
            | Mode::ShortOfWrites
            | Mode::ShortOfReads
            | Mode::SilentWrites
            | Mode::ResponseLost
            | Mode::Unanswered
            | Mode::AppliedLate => {}
        }
        let answer = match call.path.as_str() {
            "/api/rows-tx" => {
                let (status, body) = self.transact_in_time(&call).await;
                (status, body.to_string())
            }
            "/api/rows-get" => self.get_or_hold(&call).await,
            "/api/rows-feed" => self.feed(&call).await,
            _ => (404, "{}".into()),
        };
        if mode == Mode::Unanswered && call.path == "/api/rows-tx" && answer.0 == 200 {
            return std::future::pending().await;
        }
        (mode != Mode::ResponseLost || call.path != "/api/rows-tx").then_some(answer)
    }

    /// Returns whether a call is a transaction of a partition that is refused because the one before
    /// was not.
    fn refuses_write(&self, call: &Call) -> bool {
        let puts = call.body["puts"].as_array().into_iter().flatten();
        let mut parts = puts.map(|put| &put["part"]);
        if call.path != "/api/rows-tx" || !parts.any(|part| *part != "") {
            return false;
        }
        let mut state = self.state.lock().unwrap();
        state.partition_writes += 1;
        state.partition_writes.is_multiple_of(2)
    }

    /// Returns whether a call is a read of rows that is refused.
    fn refuses_read(&self, call: &Call) -> bool {
        if call.path != "/api/rows-get" {
            return false;
        }
        let mut state = self.state.lock().unwrap();
        state.reads += 1;
        state.reads.is_multiple_of(READS_PER_REFUSAL)
    }

    /// Carries out a transaction at the end of the time that it takes.
    async fn transact_in_time(&self, call: &Call) -> (u16, Value) {
        let time = {
            let mut state = self.state.lock().unwrap();
            let stores_progress = stores_progress(call);
            state.progress_writes += u64::from(stores_progress);
            state.progress_write_time * u32::from(stores_progress)
        };
        if time.is_zero() {
            return self.transact(call);
        }
        let (store, call) = (self.clone(), call.clone());
        let result = tokio::spawn(async move {
            tokio::time::sleep(time).await;
            store.transact(&call)
        });
        result.await.unwrap()
    }

    fn transact(&self, call: &Call) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        let mut puts = call.body["puts"].as_array().into_iter().flatten();
        let has_refused_key = !state.refused_key.is_empty()
            && puts.any(|put| put["table"] != "jobs" && put["key"] == *state.refused_key);
        let mut deletes = call.body["deletes"].as_array().into_iter().flatten();
        let has_refused_deletion = !state.refused_deletion.is_empty()
            && deletes.any(|row| row["table"] == "jobs" && row["key"] == *state.refused_deletion);
        if has_refused_key || has_refused_deletion || !is_within_limits(&call.body) {
            state.refused += 1;
            return (400, json!({}));
        }
        let string =
            |value: &Value, name: &str| value[name].as_str().unwrap_or_default().to_owned();
        let key = |e: &Value| (string(e, "table"), string(e, "part"), string(e, "key"));
        let list = |name: &str| call.body[name].as_array().cloned().unwrap_or_default();
        let expected = list("expectedRev");
        let is_current = |e: &Value| {
            let version = state.rows.get(&key(e)).map_or(0, |row| row.1);
            version == e["ver"].as_u64().unwrap_or_default()
        };
        if !expected.iter().all(is_current) {
            let rows: Vec<Value> = expected
                .iter()
                .filter_map(|e| state.row_or_deletion(&key(e)))
                .collect();
            return (412, json!({"rows": rows, "ver": state.version, "nowMs": 1}));
        }
        state.version += 1;
        for put in list("puts") {
            state.put(key(&put), string(&put, "value"));
        }
        for delete in list("deletes") {
            let key = key(&delete);
            state.rows.remove(&key);
            let version = state.version;
            state.history.push((version, key, true));
        }
        let version = state.version;
        drop(state);
        self.changed.notify_waiters();
        (200, json!({"ver": version, "nowMs": 1}))
    }

    async fn get_or_hold(&self, call: &Call) -> (u16, String) {
        let read_time = self.state.lock().unwrap().read_time;
        tokio::time::sleep(read_time).await;
        self.holds.wait_for_release(call, Moment::Before).await;
        let answer = self.get(call);
        self.holds.wait_for_release(call, Moment::After).await;
        answer
    }

    fn get(&self, call: &Call) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let (from, to) = (call.query("from"), call.query("target"));
        // The store refuses keys with a NUL. A reader that asked for the next page from such a key
        // missed rows.
        if from.contains('\0') {
            return (400, "{}".into());
        }
        let limit = usize::try_from(call.number("limit"))
            .unwrap_or(500)
            .clamp(1, 500);
        let matches = |(table, part, key): &&Key| {
            table == call.query("table")
                && part == call.query("part")
                && key.as_str() >= from
                && (to.is_empty() || key.as_str() < to)
        };
        let mut keys = state.rows.keys().filter(matches);
        let rows: Vec<String> = keys
            .by_ref()
            .take(limit)
            .map(|key| row_text(key, &state.rows[key]))
            .collect();
        let has_more = keys.next().is_some();
        let (rows, version) = (rows.join(","), state.version);
        let page = format!(r#"{{"rows":[{rows}],"hasMore":{has_more},"ver":{version},"nowMs":1}}"#);
        (200, page)
    }

    async fn feed(&self, call: &Call) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_millis(call.number("waitMs"));
        if self.state.lock().unwrap().failing_feed == Some(call.query("table")) {
            return (503, "{}".into());
        }
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock().unwrap();
                let after = call.number("after");
                if after < state.discarded {
                    return (410, "{}".into());
                }
                let table = call.query("table");
                let rows: Vec<String> = (state.history.iter())
                    .filter(|(version, (t, ..), _)| *version > after && t == table)
                    .map(|(version, key, deleted)| match state.rows.get(key) {
                        Some(current) if !deleted => row_text(key, current),
                        _ => json!({"table": key.0, "part": key.1, "key": key.2,
                            "ver": version, "tombstone": true})
                        .to_string(),
                    })
                    .collect();
                if !rows.is_empty() || Instant::now() >= deadline {
                    let (rows, version) = (rows.join(","), state.version);
                    return (
                        200,
                        format!(r#"{{"rows":[{rows}],"ver":{version},"nowMs":1}}"#),
                    );
                }
            }
            // A change between the read and the wait is found in the next iteration.
            let _ = tokio::time::timeout(Duration::from_millis(20), changed).await;
        }
    }
}

impl State {
    /// Returns the text of a row, or of its deletion with the version of that.
    fn row_or_deletion(&self, key: &Key) -> Option<Value> {
        if let Some(found) = self.rows.get(key) {
            return Some(row(key, found));
        }
        let mut changes = self.history.iter().rev();
        let (version, ..) = changes.find(|(_, changed, _)| changed == key)?;
        Some(
            json!({"table": key.0, "part": key.1, "key": key.2, "ver": version,
            "tombstone": true}),
        )
    }

    fn put(&mut self, key: Key, value: String) {
        if key.0 == "leaders" && key.2 == "owner" {
            self.leader_writes.extend(LeaderWrite::decode(&value));
        }
        self.history.push((self.version, key.clone(), false));
        self.rows.insert(key, (value, self.version));
    }
}

fn row(key: &Key, (value, version): &(String, u64)) -> Value {
    json!({"table": key.0, "part": key.1, "key": key.2, "value": value, "ver": version})
}

/// Returns the JSON text of a row. Base64 needs no escapes, and `serde_json` without optimisation
/// took longer than the limit of a call to look for them in all rows of a page.
fn row_text(key: &Key, (value, version): &(String, u64)) -> String {
    let [table, part, key] = [&key.0, &key.1, &key.2].map(|text| json!(text));
    format!(r#"{{"table":{table},"part":{part},"key":{key},"value":"{value}","ver":{version}}}"#)
}

/// Returns whether a call is a transaction that stores jobs. The keys of other rows in their table
/// have a suffix.
fn stores_jobs(call: &Call) -> bool {
    let puts = call.body["puts"].as_array().into_iter().flatten();
    let key = |put: &Value| put["key"].as_str().unwrap_or_default().to_owned();
    let mut keys = puts.filter(|put| put["table"] == "jobs").map(key);
    keys.any(|key| !key.contains('.'))
}

/// Returns whether a call is a transaction that stores progress.
fn stores_progress(call: &Call) -> bool {
    let mut puts = call.body["puts"].as_array().into_iter().flatten();
    puts.any(|put| put["table"] == "progress")
}

/// Returns whether the store takes a transaction of this size.
fn is_within_limits(transaction: &Value) -> bool {
    let lists = ["expectedRev", "puts", "deletes"].map(|name| transaction[name].as_array());
    let rows: usize = lists.into_iter().flatten().map(Vec::len).sum();
    let puts = transaction["puts"].as_array().into_iter().flatten();
    let mut values = puts.filter_map(|put| put["value"].as_str());
    rows <= MAX_TRANSACTION_ROWS
        && transaction.to_string().len() <= MAX_TRANSACTION_BYTES
        && values.all(|value| value.len() <= MAX_ROW_BYTES.div_ceil(3) * 4)
}
