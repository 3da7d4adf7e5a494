use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Report, WrapErr, eyre};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper::header::ETAG;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::answer::Answer;
use super::failure::Failure;

/// Variable with the operator key; a command line argument would show in the process list.
const KEY_VARIABLE: &str = "CORIANDERNOTCH_KEY";

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for a whole call; a commit takes at most about 3 s, its audit rows up to 4 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest answer in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Sends one request to the operators' port of an entry instance.
#[tokio::main(flavor = "current_thread")]
pub(super) async fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    if_match: Option<u64>,
    body: impl Into<Bytes>,
) -> Result<Answer, Failure> {
    let failure = |sent| {
        move |report: Report| Failure {
            report: report.wrap_err(format!("peer={to}")),
            sent,
        }
    };
    let request = make_request(to, method, path, if_match, body.into()).map_err(failure(false))?;
    let connect = TcpStream::connect(to);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
    let stream = stream
        .wrap_err("step=connect")
        .and_then(|stream| stream.wrap_err("step=connect"))
        .map_err(failure(false))?;
    let exchange = tokio::time::timeout(CALL_TIMEOUT, exchange(stream, request)).await;
    exchange
        .wrap_err("step=call")
        .and_then(|answer| answer)
        .map_err(failure(true))
}

fn make_request(
    to: SocketAddr,
    method: &str,
    path: &str,
    if_match: Option<u64>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Report> {
    let key = std::env::var(KEY_VARIABLE).unwrap_or_default();
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", to.to_string())
        .header("authorization", format!("Bearer {key}"));
    if let Some(version) = if_match {
        request = request.header("if-match", format!("\"{version}\""));
    }
    // The error of an invalid key must not repeat it.
    let request = request.body(Full::new(body));
    request.map_err(|_| eyre!("step=make-request cause=\"invalid {KEY_VARIABLE}\""))
}

async fn exchange(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<Answer, Report> {
    let (mut sender, connection) = handshake(TokioIo::new(stream))
        .await
        .wrap_err("step=handshake")?;
    tokio::spawn(connection);
    let answer = sender.send_request(request).await.wrap_err("step=send")?;
    let status = answer.status();
    let version = answer.headers().get(ETAG).and_then(|v| v.to_str().ok());
    let version = version.and_then(|v| v.trim_matches('"').parse().ok());
    let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
    let body = body.map_err(|e| eyre!("step=read cause={e}"))?.to_bytes();
    Ok(Answer {
        status,
        version,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
