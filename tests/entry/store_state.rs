use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};

use crate::leader_write::LeaderWrite;
use crate::mode::Mode;

/// Table, partition and key of a row.
pub(crate) type Key = (String, String, String);

/// Rows, history and faults of the stand-in of the store.
#[derive(Default)]
pub(crate) struct State {
    /// Content in Base64 and version of each row.
    pub(crate) rows: BTreeMap<Key, (String, u64)>,
    /// Changes in order: version, key and whether the row was deleted.
    pub(crate) history: Vec<(u64, Key, bool)>,
    /// Changes up to this version are no longer in the history.
    pub(crate) discarded: u64,
    pub(crate) version: u64,
    pub(crate) mode: Mode,
    pub(crate) calls: u64,
    /// Table whose feed answers status 503.
    pub(crate) failing_feed: Option<&'static str>,
    /// Time that each read of rows takes.
    pub(crate) read_time: Duration,
    /// Number of transactions of partitions in [`Mode::ShortOfWrites`].
    pub(crate) partition_writes: u64,
    /// Time after which transactions that store jobs are applied without an answer, if it is set.
    pub(crate) submission_delay: Option<Duration>,
    /// Time that each transaction that stores progress takes, also if its caller has gone.
    pub(crate) progress_write_time: Duration,
    /// Number of transactions that store progress and were received.
    pub(crate) progress_writes: u64,
    /// Number of reads of rows in [`Mode::ShortOfReads`].
    pub(crate) reads: u64,
    /// Writes of the leader row, in their order.
    pub(crate) leader_writes: Vec<LeaderWrite>,
    /// Key of a row that transactions may not put, or an empty text.
    pub(crate) refused_key: String,
    /// Key of a job that transactions may not delete, or an empty text.
    pub(crate) refused_deletion: String,
    /// Number of transactions that were refused as too large or for their key.
    pub(crate) refused: u64,
}

impl State {
    /// Returns the text of a row, or of its deletion with the version of that.
    pub(crate) fn row_or_deletion(&self, key: &Key) -> Option<Value> {
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

    pub(crate) fn put(&mut self, key: Key, value: String) {
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
pub(crate) fn row_text(key: &Key, (value, version): &(String, u64)) -> String {
    let [table, part, key] = [&key.0, &key.1, &key.2].map(|text| json!(text));
    format!(r#"{{"table":{table},"part":{part},"key":{key},"value":"{value}","ver":{version}}}"#)
}
