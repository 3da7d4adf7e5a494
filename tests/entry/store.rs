use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::mode::Mode;
use crate::standin::{Call, serve};

type Key = (String, String, String);

/// Stand-in of the platform's store.
#[derive(Clone, Default)]
pub(crate) struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (String, u64)>,
    /// Changes in order: version, key and whether the row was deleted.
    history: Vec<(u64, Key, bool)>,
    /// Changes up to this version are forgotten.
    forgotten: u64,
    version: u64,
    mode: Mode,
    calls: u64,
}

impl Store {
    pub(crate) async fn start(&self) -> SocketAddr {
        let store = self.clone();
        serve(move |call| {
            let store = store.clone();
            async move { store.answer(call).await }
        })
        .await
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    pub(crate) fn forget_history(&self) {
        let mut state = self.state.lock().unwrap();
        state.forgotten = state.version;
        state.history.clear();
    }

    /// Writes as an operator or a worker does.
    pub(crate) fn write(&self, table: &str, key: &str, value: &Value) {
        self.write_raw(table, key, value.to_string().as_bytes());
    }

    pub(crate) fn write_raw(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.put(
            (table.into(), String::new(), key.into()),
            STANDARD.encode(value),
        );
        drop(state);
        self.changed.notify_waiters();
    }

    /// Reads a row of any partition.
    pub(crate) fn read(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        let row = state
            .rows
            .iter()
            .find(|((t, _, k), _)| t == table && k == key)?;
        serde_json::from_slice(&STANDARD.decode(&row.1.0).unwrap()).ok()
    }

    pub(crate) fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }

    async fn answer(&self, call: Call) -> Option<(u16, Value)> {
        let mode = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            state.mode
        };
        match mode {
            Mode::Busy => return Some((503, json!({}))),
            Mode::Many => return Some((429, json!({}))),
            Mode::Silent => {
                tokio::time::sleep(Duration::from_secs(60)).await;
                return None;
            }
            Mode::Late if call.path == "/api/rows-tx" => {
                let store = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(150)).await;
                    store.transact(&call);
                });
                return None;
            }
            Mode::Sound | Mode::Lost | Mode::Late => {}
        }
        let answer = match call.path.as_str() {
            "/api/rows-tx" => self.transact(&call),
            "/api/rows-get" => self.get(&call),
            "/api/rows-feed" => self.feed(&call).await,
            _ => (404, json!({})),
        };
        (mode != Mode::Lost || call.path != "/api/rows-tx").then_some(answer)
    }

    fn transact(&self, call: &Call) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        let text = |value: &Value, name: &str| value[name].as_str().unwrap_or_default().to_owned();
        let key = |e: &Value| (text(e, "table"), text(e, "part"), text(e, "key"));
        let list = |name: &str| call.body[name].as_array().cloned().unwrap_or_default();
        let expected = list("expectedRev");
        let holds = |e: &Value| {
            let version = state.rows.get(&key(e)).map_or(0, |row| row.1);
            version == e["ver"].as_u64().unwrap_or_default()
        };
        if !expected.iter().all(holds) {
            let rows: Vec<Value> = expected
                .iter()
                .filter_map(|e| Some(row(&key(e), state.rows.get(&key(e))?)))
                .collect();
            return (412, json!({"rows": rows, "ver": state.version, "nowMs": 1}));
        }
        state.version += 1;
        for put in list("puts") {
            state.put(key(&put), text(&put, "value"));
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

    fn get(&self, call: &Call) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        let (from, to) = (call.query("from"), call.query("target"));
        // Rows went missing when a page was asked for from a key with a NUL.
        if from.contains('\0') {
            return (400, json!({}));
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
        let rows: Vec<Value> = keys
            .by_ref()
            .take(limit)
            .map(|key| row(key, &state.rows[key]))
            .collect();
        let more = keys.next().is_some();
        (
            200,
            json!({"rows": rows, "hasMore": more, "ver": state.version, "nowMs": 1}),
        )
    }

    async fn feed(&self, call: &Call) -> (u16, Value) {
        let until = Instant::now() + Duration::from_millis(call.number("waitMs"));
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock().unwrap();
                let after = call.number("after");
                if after < state.forgotten {
                    return (410, json!({}));
                }
                let table = call.query("table");
                let rows: Vec<Value> = (state.history.iter())
                    .filter(|(version, (t, ..), _)| *version > after && t == table)
                    .map(|(version, key, gone)| match state.rows.get(key) {
                        Some(current) if !gone => row(key, current),
                        _ => json!({"table": key.0, "part": key.1, "key": key.2,
                            "ver": version, "tombstone": true}),
                    })
                    .collect();
                if !rows.is_empty() || Instant::now() >= until {
                    return (200, json!({"rows": rows, "ver": state.version, "nowMs": 1}));
                }
            }
            // A change between the look and the wait is seen at the next turn.
            let _ = tokio::time::timeout(Duration::from_millis(20), changed).await;
        }
    }
}

impl State {
    fn put(&mut self, key: Key, value: String) {
        self.history.push((self.version, key.clone(), false));
        self.rows.insert(key, (value, self.version));
    }
}

fn row(key: &Key, (value, version): &(String, u64)) -> Value {
    json!({"table": key.0, "part": key.1, "key": key.2, "value": value, "ver": version})
}
