use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Report, WrapErr};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::handshake;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Variable with the operator key; a command line argument would show in the process list.
const KEY_VARIABLE: &str = "CORIANDERNOTCH_KEY";

/// Time for a whole call; a commit takes at most about 3 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Sends one request to the operators' port of an entry instance.
#[tokio::main(flavor = "current_thread")]
pub(super) async fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    if_match: Option<u64>,
    body: Bytes,
) -> Result<(StatusCode, String), Report> {
    let exchange = async {
        let stream = TcpStream::connect(to).await.wrap_err("step=connect")?;
        let (mut sender, connection) = handshake(TokioIo::new(stream))
            .await
            .wrap_err("step=handshake")?;
        tokio::spawn(connection);
        let key = std::env::var(KEY_VARIABLE).unwrap_or_default();
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", to.to_string())
            .header("authorization", format!("Bearer {key}"));
        if let Some(version) = if_match {
            request = request.header("if-match", format!("\"{version}\""));
        }
        let request = request
            .body(Full::new(body))
            .wrap_err("step=make-request")?;
        let answer = sender.send_request(request).await.wrap_err("step=send")?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
        let body = body
            .map_err(|e| eyre::eyre!("step=read cause={e}"))?
            .to_bytes();
        Ok::<_, Report>((status, String::from_utf8_lossy(&body).into_owned()))
    };
    let answer = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
    answer
        .wrap_err("step=call")
        .and_then(|r| r)
        .wrap_err_with(|| format!("peer={to}"))
}
