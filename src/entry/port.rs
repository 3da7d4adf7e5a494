use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::call;
use super::shared::Shared;

/// Time in which a caller must send the head of a request.
const HEAD_WITHIN: Duration = Duration::from_secs(20);

/// Accepts callers until `closing` turns true, one task for each connection.
pub(super) async fn accept(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_closing(&mut closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(shared.clone(), stream, closing.clone()));
            }
            Err(error) => {
                log::warn!(event = "accept-failed", error:% = error; "");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Serves one connection until it ends, or to the end of its request once `closing` is true.
async fn serve(shared: Arc<Shared>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay-failed", error:% = error; "");
    }
    let service = service_fn(|request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(call::serve(shared, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WITHIN)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_closing(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(error) = result {
        log::debug!(event = "connection-ended", error:% = error; "");
    }
}

/// Waits until the instance closes; a sender that is gone means the same.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}
