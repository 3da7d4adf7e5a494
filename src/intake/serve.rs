use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::response_body::ResponseBody;
use super::{Connection, Evicted, Port, Registry, Stage, Stream};

/// Delay after a connection that could not be accepted.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time for the refusal of a request whose connection is evicted.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Largest answer that the charge for a connection covers.
const ANSWER_BYTES: u64 = 4 << 10;

/// Serves a port until the process ends, each connection in its own task.
pub async fn serve<F, R, B>(registry: Arc<Registry>, port: Port, listener: TcpListener, respond: F)
where
    F: Fn(Request<Incoming>, Arc<Connection>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (_open, closing) = watch::channel(false);
    serve_until(registry, port, listener, closing, respond).await;
}

/// Serves a port like [`serve`] until `closing` is true. From then on each connection completes only
/// its current request.
pub async fn serve_until<F, R, B>(
    registry: Arc<Registry>,
    port: Port,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
    respond: F,
) where
    F: Fn(Request<Incoming>, Arc<Connection>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    loop {
        let accepted = tokio::select! {
            accepted = accept(&registry, port, &listener) => accepted,
            () = wait_closing(&mut closing) => return,
        };
        match accepted {
            Ok((stream, connection)) => {
                let task = Task {
                    registry: registry.clone(),
                    port,
                    connection,
                };
                tokio::spawn(task.serve(stream, closing.clone(), respond.clone()));
            }
            Err(error) => {
                log::warn!(event = "accept-failed", port = port.name(), error:% = error; "");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts a connection and waits until it has a place. The next ones stay in the backlog.
async fn accept(
    registry: &Arc<Registry>,
    port: Port,
    listener: &TcpListener,
) -> std::io::Result<(TcpStream, Arc<Connection>)> {
    let (stream, _) = listener.accept().await?;
    Ok((stream, registry.admit(port).await))
}

/// A connection that has been admitted.
struct Task {
    registry: Arc<Registry>,
    port: Port,
    connection: Arc<Connection>,
}

impl Task {
    async fn serve<F, R, B>(self, stream: TcpStream, mut closing: watch::Receiver<bool>, respond: F)
    where
        F: Fn(Request<Incoming>, Arc<Connection>) -> R,
        R: Future<Output = Response<B>>,
        B: Body<Data = Bytes> + Unpin + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let port = self.port.name();
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "nodelay-failed", port, error:% = error; "");
        }
        let service = service_fn(|request| {
            let (connection, exchange) = (self.connection.clone(), self.connection.open());
            let response = respond(request, connection.clone());
            async move {
                let mut response = response.await;
                let length = response.body().size_hint().lower();
                if length > ANSWER_BYTES {
                    connection.charge_answer(length as usize).await?;
                }
                if connection.is_evicted() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Evicted>(response.map(|body| ResponseBody::new(body, exchange)))
            }
        });
        let limits = self.registry.limits();
        let http = http1::Builder::new()
            .timer(TokioTimer::new())
            // The ledger tells idle connections from heads that do not end.
            .header_read_timeout(None)
            .max_buf_size(limits.head_bytes)
            .serve_connection(
                TokioIo::new(Stream::new(stream, self.connection.clone())),
                service,
            );
        tokio::pin!(http);
        let (mut stopping, mut leaving) = (false, false);
        let result = loop {
            tokio::select! {
                result = http.as_mut() => break result,
                () = self.connection.evicted(), if !leaving => {
                    if self.connection.stage() != Some(Stage::Body) {
                        return;
                    }
                    leaving = true;
                }
                () = tokio::time::sleep(REFUSAL_TIME), if leaving => return,
                () = wait_closing(&mut closing), if !stopping => {
                    stopping = true;
                    http.as_mut().graceful_shutdown();
                }
            }
        };
        if let Err(error) = result {
            if error.is_parse_too_large() {
                self.registry.report_long_head(self.port);
            }
            log::debug!(event = "connection-ended", port, error:% = error; "");
        }
    }
}

/// Waits until `closing` is true or its sender has been dropped.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}
