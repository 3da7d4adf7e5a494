//! Platform services over HTTP, as [`crate::platform::http`] describes the protocol.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::http::{Hangup, answer, body, json, unescape};
use super::{Failure, Handle, Reply, Request};
use crate::platform::{Command, Write};

/// Largest request body in bytes.
const MAX_BODY: usize = 16 << 20;

/// Serves connections from `listener` with the store behind `handle`, until dropped.
///
/// Each client that tests cut off by itself gets its own listener and [`Handle`].
///
/// ```
/// use coriandernotch::standin::{Store, platform};
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let server = tokio::spawn(platform::serve(listener, Store::new().client("entry-1")));
/// server.abort();
/// # });
/// ```
pub async fn serve(listener: TcpListener, handle: Handle) {
    super::serve::serve(listener, "platform", |stream| {
        connection(stream, handle.clone())
    })
    .await;
}

async fn connection(stream: TcpStream, handle: Handle) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| respond(request, &handle));
    // A client that goes away is no fault of the server.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn respond(
    request: hyper::Request<Incoming>,
    handle: &Handle,
) -> Result<Response<Full<Bytes>>, Hangup> {
    let Some(call) = parse(request).await? else {
        return Ok(answer(StatusCode::BAD_REQUEST, "unknown call"));
    };
    Ok(match handle.send(call).await {
        Ok(Reply::Row(Some(row))) => json(&row),
        Ok(Reply::Row(None) | Reply::Object(None)) => answer(StatusCode::NOT_FOUND, ""),
        Ok(Reply::Rows(rows)) => json(&rows),
        Ok(Reply::Versions(versions)) => json(&versions),
        Ok(Reply::Stored) => answer(StatusCode::NO_CONTENT, ""),
        Ok(Reply::Object(Some(content))) => answer(StatusCode::OK, content),
        Ok(Reply::Instances(list)) => json(&list),
        Err(Failure::Conflict(key)) => answer(StatusCode::CONFLICT, key.to_string()),
        Err(Failure::Refused) => answer(StatusCode::SERVICE_UNAVAILABLE, ""),
        Err(Failure::Lost) => return Err(Hangup),
    })
}

async fn parse(request: hyper::Request<Incoming>) -> Result<Option<Request>, Hangup> {
    let method = request.method().clone();
    let uri = request.uri().clone();
    let path = uri.path();
    let name = |prefix| path.strip_prefix(prefix).map(|n| Arc::from(unescape(n)));
    if let Some(key) = name("/table/rows/") {
        return Ok((method == Method::GET).then_some(Request::Read(key)));
    }
    if let Some(name) = name("/objects/") {
        return Ok(match method {
            Method::GET => Some(Request::Get(name)),
            Method::PUT => Some(Request::Put(name, body(request, MAX_BODY).await?)),
            _ => None,
        });
    }
    Ok(match (method, path) {
        (Method::GET, "/table/scan") => scan(uri.query().unwrap_or("")),
        (Method::POST, "/table/transact") => {
            serde_json::from_slice::<Vec<Write>>(&body(request, MAX_BODY).await?)
                .ok()
                .map(Request::Transact)
        }
        (Method::GET, "/instances") => Some(Request::List),
        (Method::POST, "/instances/orders") => {
            serde_json::from_slice::<Command>(&body(request, MAX_BODY).await?)
                .ok()
                .map(Request::Order)
        }
        _ => None,
    })
}

fn scan(query: &str) -> Option<Request> {
    let field = |name: &str| {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(field, _)| *field == name)
            .map(|(_, value)| unescape(value))
    };
    Some(Request::Scan {
        prefix: field("prefix")?.into(),
        after: field("after")?.into(),
        limit: field("limit")?.parse().ok()?,
    })
}
