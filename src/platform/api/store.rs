use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;

use super::call::Call;
use super::names::{OPERATOR_TABLE, STATUS_TABLE, WORKER_TABLE};
use super::{Fault, Feed, Link, Outcome, Row, Transaction, row};
use crate::clock::{self, Instant};
use crate::platform::http::encode_query;

/// Time allowed for a feed response in addition to the requested wait.
const FEED_SLACK: Duration = Duration::from_millis(1_500);

/// Maximum number of rows in one response.
const PAGE_ROWS: usize = 500;

/// Client of the platform's store.
pub struct Store {
    link: Link,
    /// Time on the clock of the store in milliseconds in the last response, and when that arrived.
    clock: Mutex<Option<(u64, Instant)>>,
}

/// Response with rows and the version of the table, or with the version of a transaction.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Rows {
    rows: Vec<row::WireRow>,
    has_more: bool,
    ver: u64,
    /// Monotonic clock of the store; 0 if not reported.
    now_ms: u64,
}

impl Store {
    /// Table in which operators request changes.
    pub const OPERATORS: &'static str = OPERATOR_TABLE;
    /// Table in which workers register.
    pub const WORKERS: &'static str = WORKER_TABLE;
    /// Table in which progress is reported to operators.
    pub const STATUS: &'static str = STATUS_TABLE;

    /// Creates a client, which connects on the first call.
    ///
    /// ```
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// drop(coriandernotch::platform::api::Store::new(address));
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self {
            link: Link::new(address),
            clock: Mutex::default(),
        }
    }

    /// Returns the time on the clock of the store at `now` in milliseconds, or `None` until a
    /// response has reported it.
    pub fn clock_ms(&self, now: Instant) -> Option<u64> {
        let (reported_ms, at) = (*self.clock.lock().expect("clock lock"))?;
        Some(reported_ms + u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX / 2))
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// [`Fault::Unknown`] means that the transaction may have been applied, or may still be applied
    /// while its conditions hold; after any other fault it was not and will not be applied.
    pub async fn transact(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> Result<Outcome, Fault> {
        let step = "transact";
        let part = &transaction.part;
        let expected = transaction
            .expected
            .iter()
            .map(|e| json!({"table": e.table, "part": part, "key": e.key, "ver": e.version}));
        let puts = transaction.puts.iter().map(|(table, key, content)| {
            json!({"table": table, "part": part, "key": key, "value": row::encode(content)})
        });
        let deletes = transaction
            .deletes
            .iter()
            .map(|(table, key)| json!({"table": table, "part": part, "key": key}));
        let body = json!({
            "expectedRev": expected.collect::<Vec<_>>(),
            "puts": puts.collect::<Vec<_>>(),
            "deletes": deletes.collect::<Vec<_>>(),
        });
        let call = Call::post(step, "/api/rows-tx", body.to_string(), timeout);
        // The rows are not held twice while the answer is awaited.
        drop(body);
        let response = self.link.exchange(call).await?;
        match response.status {
            200 => self
                .decode(step, &response.body)
                .map(|reply| Outcome::Applied(reply.ver)),
            412 => {
                let reply = self.decode(step, &response.body)?;
                Ok(Outcome::Conflict(
                    reply.rows.into_iter().map(Row::from).collect(),
                ))
            }
            status @ (400..=499 | 503) => Err(self.link.refused(step, status)),
            status => Err(self.link.unknown(step, format!("status {status}"))),
        }
    }

    /// Reads the rows of a partition whose keys are at least `from` and, unless `to` is empty, less
    /// than `to`. Also returns the version of the table at the first page.
    ///
    /// # Errors
    ///
    /// Fails without a partial result if a page cannot be read.
    pub async fn read(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
        timeout: Duration,
    ) -> Result<(Vec<Row>, u64), Fault> {
        let mut rows: Vec<Row> = Vec::new();
        let mut version = None;
        let mut from = encode_query(from);
        loop {
            let mut path = format!(
                "/api/rows-get?table={table}&part={}&from={from}&limit={PAGE_ROWS}",
                encode_query(part)
            );
            if !to.is_empty() {
                path.push_str("&target=");
                path.push_str(&encode_query(to));
            }
            let page = self.get("read", &path, timeout).await?;
            // Keeps the version of the first page; the feed reports all changes after it.
            version.get_or_insert(page.ver);
            let last_key = rows.last().map(|row| row.key.clone());
            let count_before = rows.len();
            let page_rows = page.rows.into_iter().map(Row::from);
            rows.extend(page_rows.filter(|row| last_key.as_ref() != Some(&row.key)));
            if !page.has_more || rows.len() == count_before {
                return Ok((rows, version.unwrap_or_default()));
            }
            // The next page begins with the last row of this one, which is then skipped: no known
            // text is treated by every store as the smallest key after it.
            from = encode_query(rows.last().map_or("", |row| &row.key));
        }
    }

    /// Waits up to `wait` for changes of a table after version `after`.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or returns an unexpected response.
    pub async fn feed(&self, table: &str, after: u64, wait: Duration) -> Result<Feed, Fault> {
        let step = "feed";
        let path = format!(
            "/api/rows-feed?table={table}&after={after}&waitMs={}",
            wait.as_millis()
        );
        let response = self
            .link
            .exchange(Call::get(step, &path, wait + FEED_SLACK))
            .await?;
        match response.status {
            200 => {
                let reply = self.decode(step, &response.body)?;
                let changes = reply.rows.into_iter().map(Row::from).collect();
                Ok(Feed::Changes(changes, reply.ver.max(after)))
            }
            410 => Ok(Feed::Gone),
            status => Err(self.link.refused(step, status)),
        }
    }

    async fn get(&self, step: &'static str, path: &str, timeout: Duration) -> Result<Rows, Fault> {
        let response = self.link.exchange(Call::get(step, path, timeout)).await?;
        match response.status {
            200 => self.decode(step, &response.body),
            status => Err(self.link.refused(step, status)),
        }
    }

    /// Decodes a response and records the clock of the store.
    fn decode(&self, step: &'static str, body: &[u8]) -> Result<Rows, Fault> {
        let reply: Rows =
            serde_json::from_slice(body).map_err(|e| self.link.unknown(step, e.to_string()))?;
        if reply.now_ms > 0 {
            *self.clock.lock().expect("clock lock") = Some((reply.now_ms, clock::now()));
        }
        Ok(reply)
    }
}
