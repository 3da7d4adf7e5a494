use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::platform::{Answer, Error, Instance, Listing, Objects, Row, Table, Write};

/// A store answer later than this is treated as lost, so callers can decide within a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Largest answer that the client reads, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Idle connections kept for reuse.
const MAX_IDLE: usize = 8;

type Sender = SendRequest<Full<Bytes>>;

/// Client of the platform services at one address.
pub struct Client {
    address: SocketAddr,
    peer: Arc<str>,
    idle: Mutex<Vec<Sender>>,
}

impl Client {
    /// Makes a client; it connects with the first call.
    ///
    /// ```
    /// let client = coriandernotch::platform::http::Client::new("127.0.0.1:1".parse().unwrap());
    /// drop(client);
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            peer: address.to_string().into(),
            idle: Mutex::new(Vec::new()),
        }
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Error> {
        let write = !method.is_safe();
        let unavailable = |reason: String| self.unavailable(step, reason);
        let mut sender = timeout(CALL_TIMEOUT, self.connect())
            .await
            .map_err(|_| unavailable("connect timed out".into()))?
            .map_err(|e| unavailable(e.to_string()))?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &*self.peer)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| unavailable(e.to_string()))?;
        let lost = |reason: String| {
            if write {
                self.unknown(step, reason)
            } else {
                unavailable(reason)
            }
        };
        let exchange = async {
            let answer = sender
                .send_request(request)
                .await
                .map_err(|e| lost(e.to_string()))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER)
                .collect()
                .await
                .map_err(|e| lost(e.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        let (status, body) = timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| lost("answer timed out".into()))??;
        self.keep(sender);
        match status {
            StatusCode::SERVICE_UNAVAILABLE => Err(unavailable("503".into())),
            s if s.is_server_error() => Err(lost(s.to_string())),
            s => Ok((s, body)),
        }
    }

    async fn connect(&self) -> Result<Sender, Box<dyn std::error::Error + Send + Sync>> {
        while let Some(mut sender) = self.take() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take(&self) -> Option<Sender> {
        self.idle.lock().expect("idle connections lock").pop()
    }

    fn keep(&self, sender: Sender) {
        let mut idle = self.idle.lock().expect("idle connections lock");
        if idle.len() < MAX_IDLE {
            idle.push(sender);
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

    fn decode<T: DeserializeOwned>(&self, step: &'static str, body: &[u8]) -> Result<T, Error> {
        serde_json::from_slice(body).map_err(|e| self.unknown(step, e.to_string()))
    }

    fn refuse<T>(&self, step: &'static str, status: StatusCode) -> Result<T, Error> {
        Err(self.unavailable(step, status.to_string()))
    }
}

impl Table for Client {
    fn transact(&self, writes: Vec<Write>) -> Answer<'_, Vec<u64>> {
        Box::pin(async move {
            let step = "transact";
            let body =
                serde_json::to_vec(&writes).map_err(|e| self.unavailable(step, e.to_string()))?;
            match self
                .call(step, Method::POST, "/table/transact", body.into())
                .await?
            {
                (StatusCode::OK, body) => self.decode(step, &body),
                (StatusCode::CONFLICT, body) => Err(Error::Conflict {
                    key: String::from_utf8_lossy(&body).as_ref().into(),
                }),
                (status, _) => self.refuse(step, status),
            }
        })
    }

    fn read(&self, key: Arc<str>) -> Answer<'_, Option<Row>> {
        Box::pin(async move {
            let path = format!("/table/rows/{key}");
            match self.call("read", Method::GET, &path, Bytes::new()).await? {
                (StatusCode::OK, body) => self.decode("read", &body).map(Some),
                (StatusCode::NOT_FOUND, _) => Ok(None),
                (status, _) => self.refuse("read", status),
            }
        })
    }

    fn scan(&self, prefix: Arc<str>, after: Arc<str>, limit: usize) -> Answer<'_, Vec<Row>> {
        Box::pin(async move {
            let path = format!("/table/scan?prefix={prefix}&after={after}&limit={limit}");
            match self.call("scan", Method::GET, &path, Bytes::new()).await? {
                (StatusCode::OK, body) => self.decode("scan", &body),
                (status, _) => self.refuse("scan", status),
            }
        })
    }
}

impl Objects for Client {
    fn put(&self, name: Arc<str>, content: Bytes) -> Answer<'_, ()> {
        Box::pin(async move {
            let path = format!("/objects/{name}");
            match self.call("put-object", Method::PUT, &path, content).await? {
                (status, _) if status.is_success() => Ok(()),
                (status, _) => self.refuse("put-object", status),
            }
        })
    }

    fn get(&self, name: Arc<str>) -> Answer<'_, Option<Bytes>> {
        Box::pin(async move {
            let path = format!("/objects/{name}");
            match self
                .call("get-object", Method::GET, &path, Bytes::new())
                .await?
            {
                (StatusCode::OK, body) => Ok(Some(body)),
                (StatusCode::NOT_FOUND, _) => Ok(None),
                (status, _) => self.refuse("get-object", status),
            }
        })
    }
}

impl Listing for Client {
    fn instances(&self) -> Answer<'_, Vec<Instance>> {
        Box::pin(async move {
            match self
                .call("list", Method::GET, "/instances", Bytes::new())
                .await?
            {
                (StatusCode::OK, body) => self.decode("list", &body),
                (status, _) => self.refuse("list", status),
            }
        })
    }
}
