//! How the stand-in of the store answers calls.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::mode::Mode;
use crate::moment::Moment;
use crate::standin::Call;
use crate::store::{MAX_ROW_BYTES, Store};
use crate::store_state::{Key, row_text};

/// Largest number of rows in a transaction, and its largest size in bytes.
const MAX_TRANSACTION_ROWS: usize = 100;
const MAX_TRANSACTION_BYTES: usize = 1_000_000;

/// In [`Mode::ShortOfReads`] each read with a multiple of this number is refused.
const READS_PER_REFUSAL: u64 = 20;

impl Store {
    pub(crate) async fn respond(&self, call: Call) -> Option<(u16, String)> {
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
