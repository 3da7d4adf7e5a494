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

/// Time within which a caller must send the header of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Accepts connections of callers until `closing` is true, and serves each in its own task.
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

/// Serves one connection until it ends. Once `closing` is true, only the current request is
/// completed.
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
        .header_read_timeout(HEADER_READ_TIMEOUT)
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

/// Waits until `closing` is true or its sender has been dropped.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}
