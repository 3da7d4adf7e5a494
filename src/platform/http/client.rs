use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout, timeout_at};

use super::connection::Connection;
use super::escape;
use super::pool::Pool;
use crate::platform::{
    Answer, Command, Error, Instance, Listing, Machines, Objects, Row, Table, Write,
};

/// A store answer later than this is treated as lost, so callers can decide within a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Largest answer that the client reads, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Client of the platform services, which one or several addresses offer.
pub struct Client {
    addresses: Vec<SocketAddr>,
    /// Place of the address that was reached last.
    current: AtomicUsize,
    peer: Arc<str>,
    pool: Pool,
}

/// Why an exchange on one connection failed.
enum Broken {
    /// No byte of the request was written.
    Unsent(String),
    /// The request was written at least in part.
    Sent(String),
}

impl Client {
    /// Makes a client; it connects with the first call.
    ///
    /// ```
    /// let client = coriandernotch::platform::http::Client::new("127.0.0.1:1".parse().unwrap());
    /// drop(client);
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self::with_addresses(address, &[])
    }

    /// Makes a client that goes on to one of `others` when an address cannot be reached.
    ///
    /// All addresses must offer the same service: whichever answers has the latest state.
    ///
    /// ```
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// coriandernotch::platform::http::Client::with_addresses(address, &[address]);
    /// ```
    pub fn with_addresses(first: SocketAddr, others: &[SocketAddr]) -> Self {
        Self {
            addresses: std::iter::once(first)
                .chain(others.iter().copied())
                .collect(),
            current: AtomicUsize::new(0),
            peer: first.to_string().into(),
            pool: Pool::default(),
        }
    }

    /// Connects to the address that was reached last, or to the next ones. Nothing is sent here,
    /// so a failure proves that a request had no effect.
    async fn connect(&self, step: &'static str, deadline: Instant) -> Result<Connection, Error> {
        let first = self.current.load(Ordering::Relaxed);
        let mut reason = String::new();
        for left in (1..=self.addresses.len()).rev() {
            let place = (first + self.addresses.len() - left) % self.addresses.len();
            // An address that does not answer leaves time for those after it.
            let share = deadline.saturating_duration_since(Instant::now()) / left as u32;
            match timeout(share, Connection::open(self.addresses[place])).await {
                Ok(Ok(connection)) => {
                    self.current.store(place, Ordering::Relaxed);
                    return Ok(connection);
                }
                Ok(Err(error)) => reason = format!("{}: {error}", self.addresses[place]),
                Err(_) => reason = format!("{}: connect timed out", self.addresses[place]),
            }
        }
        Err(self.unavailable(step, reason))
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Error> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let write = !method.is_safe();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &*self.peer)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| self.unavailable(step, e.to_string()))?;
        // An idle connection may have been closed meanwhile. What provably was not sent, and what
        // has no effect, may be sent again on a fresh one.
        if let Ok(Some(connection)) = timeout_at(deadline, self.pool.take()).await {
            match self.exchange(connection, request.clone(), deadline).await {
                Ok(answer) => return self.judge(step, write, answer),
                Err(Broken::Sent(reason)) if write => return Err(self.unknown(step, reason)),
                Err(Broken::Sent(_) | Broken::Unsent(_)) => {}
            }
        }
        let connection = self.connect(step, deadline).await?;
        match self.exchange(connection, request, deadline).await {
            Ok(answer) => self.judge(step, write, answer),
            Err(Broken::Sent(reason)) if write => Err(self.unknown(step, reason)),
            Err(Broken::Sent(reason) | Broken::Unsent(reason)) => {
                Err(self.unavailable(step, reason))
            }
        }
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<(StatusCode, Bytes), Broken> {
        let exchange = async {
            let answer = connection
                .sender
                .try_send_request(request)
                .await
                .map_err(|mut e| {
                    let reason = e.error().to_string();
                    match e.take_message() {
                        Some(_) => Broken::Unsent(reason),
                        None => Broken::Sent(reason),
                    }
                })?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER)
                .collect()
                .await
                .map_err(|e| Broken::Sent(e.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        let answer = timeout_at(deadline, exchange)
            .await
            .map_err(|_| Broken::Sent("answer timed out".into()))??;
        self.pool.keep(connection);
        Ok(answer)
    }

    /// Turns answers without a result into errors; only 503 proves that a write had no effect.
    fn judge(
        &self,
        step: &'static str,
        write: bool,
        (status, body): (StatusCode, Bytes),
    ) -> Result<(StatusCode, Bytes), Error> {
        match status {
            StatusCode::SERVICE_UNAVAILABLE => Err(self.unavailable(step, status.to_string())),
            s if s.is_success() => Ok((s, body)),
            StatusCode::NOT_FOUND if !write => Ok((status, body)),
            StatusCode::CONFLICT if write => Ok((status, body)),
            s if write => Err(self.unknown(step, s.to_string())),
            s => Err(self.unavailable(step, s.to_string())),
        }
    }

    fn unavailable(&self, step: &'static str, reason: String) -> Error {
        Error::Unavailable {
            step,
            peer: self.peer.clone(),
            reason,
        }
    }

    fn unknown(&self, step: &'static str, reason: String) -> Error {
        Error::Unknown {
            step,
            peer: self.peer.clone(),
            reason,
        }
    }

    /// Decodes the answer to a call without effect.
    fn decode<T: DeserializeOwned>(&self, step: &'static str, body: &[u8]) -> Result<T, Error> {
        serde_json::from_slice(body).map_err(|e| self.unavailable(step, e.to_string()))
    }

    /// Reads from `path`; `None` means that there is nothing.
    async fn fetch(&self, step: &'static str, path: &str) -> Result<Option<Bytes>, Error> {
        let (status, body) = self.call(step, Method::GET, path, Bytes::new()).await?;
        Ok(status.is_success().then_some(body))
    }

    /// Reads from a path that always exists.
    async fn fetch_list<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
    ) -> Result<Vec<T>, Error> {
        match self.fetch(step, path).await? {
            Some(body) => self.decode(step, &body),
            None => Err(self.unavailable(step, StatusCode::NOT_FOUND.to_string())),
        }
    }
}

impl Table for Client {
    fn transact(&self, writes: Vec<Write>) -> Answer<'_, Vec<u64>> {
        Box::pin(async move {
            let step = "transact";
            let body =
                serde_json::to_vec(&writes).map_err(|e| self.unavailable(step, e.to_string()))?;
            let (status, body) = self
                .call(step, Method::POST, "/table/transact", body.into())
                .await?;
            if status == StatusCode::CONFLICT {
                // Only a key of this transaction proves that the table service judged it.
                let key = writes.iter().find(|write| write.key.as_bytes() == &*body);
                return Err(match key {
                    Some(write) => Error::Conflict {
                        key: write.key.clone(),
                    },
                    None => self.unknown(step, "conflict on a key not written".into()),
                });
            }
            match serde_json::from_slice::<Vec<u64>>(&body) {
                Ok(versions) if versions.len() == writes.len() => Ok(versions),
                Ok(versions) => {
                    let reason = format!("{} versions for {} writes", versions.len(), writes.len());
                    Err(self.unknown(step, reason))
                }
                Err(error) => Err(self.unknown(step, error.to_string())),
            }
        })
    }

    fn read(&self, key: Arc<str>) -> Answer<'_, Option<Row>> {
        Box::pin(async move {
            let path = format!("/table/rows/{}", escape::path(&key));
            match self.fetch("read", &path).await? {
                Some(body) => self.decode("read", &body).map(Some),
                None => Ok(None),
            }
        })
    }

    fn scan(&self, prefix: Arc<str>, after: Arc<str>, limit: usize) -> Answer<'_, Vec<Row>> {
        Box::pin(async move {
            let (prefix, after) = (escape::query(&prefix), escape::query(&after));
            let path = format!("/table/scan?prefix={prefix}&after={after}&limit={limit}");
            self.fetch_list("scan", &path).await
        })
    }
}

impl Objects for Client {
    fn put(&self, name: Arc<str>, content: Bytes) -> Answer<'_, ()> {
        Box::pin(async move {
            let path = format!("/objects/{}", escape::path(&name));
            let step = "put-object";
            match self.call(step, Method::PUT, &path, content).await? {
                (StatusCode::CONFLICT, _) => Err(self.unknown(step, "409".into())),
                _ => Ok(()),
            }
        })
    }

    fn get(&self, name: Arc<str>) -> Answer<'_, Option<Bytes>> {
        Box::pin(async move {
            let path = format!("/objects/{}", escape::path(&name));
            self.fetch("get-object", &path).await
        })
    }
}

impl Listing for Client {
    fn instances(&self) -> Answer<'_, Vec<Instance>> {
        Box::pin(async move { self.fetch_list("list", "/instances").await })
    }
}

impl Machines for Client {
    fn order(&self, command: Command) -> Answer<'_, ()> {
        Box::pin(async move {
            let step = "order";
            let body =
                serde_json::to_vec(&command).map_err(|e| self.unavailable(step, e.to_string()))?;
            let answer = self
                .call(step, Method::POST, "/instances/orders", body.into())
                .await?;
            match answer {
                (StatusCode::CONFLICT, body) if *body == *command.instance.as_bytes() => {
                    Err(Error::Conflict {
                        key: command.instance,
                    })
                }
                (StatusCode::CONFLICT, _) => {
                    Err(self.unknown(step, "conflict on another instance".into()))
                }
                _ => Ok(()),
            }
        })
    }
}
