use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

/// A request to a stand-in.
#[derive(Clone)]
pub(crate) struct Call {
    pub(crate) path: String,
    query: Vec<(String, String)>,
    /// Identity of the worker that the sender expects at the address.
    pub(crate) expected: Option<String>,
    pub(crate) body: Value,
    /// Number of the connection, in the order in which they were accepted.
    pub(crate) connection: usize,
}

impl Call {
    pub(crate) fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub(crate) fn number(&self, name: &str) -> u64 {
        self.query(name).parse().unwrap_or_default()
    }
}

/// The port of a stand-in.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    /// Task that owns the listener and the connections.
    accepting: AbortHandle,
}

impl Server {
    /// Closes the connections and refuses new ones from now on. Exchanges end without a response.
    pub(crate) fn close(&self) {
        self.accepting.abort();
    }
}

/// Serves a stand-in on a free port. If `respond` returns `None`, the connection is closed without
/// a response.
pub(crate) async fn serve<F, R, B>(respond: F) -> SocketAddr
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Option<(u16, B)>> + Send + 'static,
    B: ToString + Send + 'static,
{
    open(respond).await.address
}

/// Serves a stand-in like [`serve`], on a port that can be closed.
pub(crate) async fn open<F, R, B>(respond: F) -> Server
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Option<(u16, B)>> + Send + 'static,
    B: ToString + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let respond = Arc::new(respond);
    let accepting = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        for connection in 0.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            while connections.try_join_next().is_some() {}
            let respond = respond.clone();
            connections.spawn(async move {
                let handle = |request| handle_request(respond.clone(), connection, request);
                let service = service_fn(handle);
                // Fails for a connection that is closed without a response.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Server {
        address,
        accepting: accepting.abort_handle(),
    }
}

async fn handle_request<F, R, B>(
    respond: Arc<F>,
    connection: usize,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error>
where
    F: Fn(Call) -> R,
    R: Future<Output = Option<(u16, B)>>,
    B: ToString,
{
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    let pairs = head.uri.query().unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    let call = Call {
        path: head.uri.path().to_owned(),
        query: pairs
            .map(|(k, v)| (k.to_owned(), percent_decode(v)))
            .collect(),
        expected: head
            .headers
            .get("x-expect-instance")
            .map(|value| value.to_str().unwrap().to_owned()),
        body: serde_json::from_slice(&body).unwrap_or_default(),
        connection,
    };
    let Some((status, body)) = respond(call).await else {
        return Err(std::io::Error::other("closed"));
    };
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status.try_into().unwrap();
    Ok(response)
}

fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next().unwrap(), bytes.next().unwrap()];
            let digits = std::str::from_utf8(&digits).unwrap().to_owned();
            decoded.push(u8::from_str_radix(&digits, 16).unwrap());
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8(decoded).unwrap()
}
