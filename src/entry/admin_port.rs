use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

/// Delay after a connection that could not be accepted.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Response of a port that serves the platform or operators.
pub(super) type HttpResponse = Response<Full<Bytes>>;

/// Serves a port whose responses are computed without waiting, with one task for each connection.
pub(super) async fn serve<F>(port: &'static str, listener: TcpListener, respond: F)
where
    F: Fn(&Request<Incoming>) -> HttpResponse + Clone + Send + Sync + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(port, stream, respond.clone()));
            }
            Err(error) => {
                log::warn!(event = "accept-failed", port, error:% = error; "");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<F>(port: &'static str, stream: TcpStream, respond: F)
where
    F: Fn(&Request<Incoming>) -> HttpResponse + Send + Sync,
{
    let service = service_fn(|request| {
        let response = respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(event = "connection-ended", port, error:% = error; "");
    }
}
