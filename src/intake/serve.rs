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

use super::held::Held;
use super::{Evicted, Gate, Port, Seat, Stage, Stream};

/// Delay after a connection that could not be accepted.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time for the refusal of a request whose body gives way.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Largest answer that the charge for a connection covers.
const ANSWER_BYTES: u64 = 4 << 10;

/// Serves a port until the process ends, each connection in its own task.
pub async fn serve<F, R, B>(gate: Arc<Gate>, port: Port, listener: TcpListener, respond: F)
where
    F: Fn(Request<Incoming>, Arc<Seat>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (_open, closing) = watch::channel(false);
    serve_until(gate, port, listener, closing, respond).await;
}

/// Serves a port like [`serve`] until `closing` is true. From then on each connection completes only
/// its current request.
pub async fn serve_until<F, R, B>(
    gate: Arc<Gate>,
    port: Port,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
    respond: F,
) where
    F: Fn(Request<Incoming>, Arc<Seat>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    loop {
        let accepted = tokio::select! {
            accepted = accept(&gate, port, &listener) => accepted,
            () = wait_closing(&mut closing) => return,
        };
        match accepted {
            Ok((stream, seat)) => {
                let connection = Connection {
                    gate: gate.clone(),
                    port,
                    seat,
                };
                tokio::spawn(connection.serve(stream, closing.clone(), respond.clone()));
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
    gate: &Arc<Gate>,
    port: Port,
    listener: &TcpListener,
) -> std::io::Result<(TcpStream, Arc<Seat>)> {
    let (stream, _) = listener.accept().await?;
    Ok((stream, gate.admit(port).await))
}

/// A connection with a place at the gate.
struct Connection {
    gate: Arc<Gate>,
    port: Port,
    seat: Arc<Seat>,
}

impl Connection {
    async fn serve<F, R, B>(self, stream: TcpStream, mut closing: watch::Receiver<bool>, respond: F)
    where
        F: Fn(Request<Incoming>, Arc<Seat>) -> R,
        R: Future<Output = Response<B>>,
        B: Body<Data = Bytes> + Unpin + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let port = self.port.name();
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "nodelay-failed", port, error:% = error; "");
        }
        let service = service_fn(|request| {
            let (seat, exchange) = (self.seat.clone(), self.seat.open());
            let response = respond(request, seat.clone());
            async move {
                let mut response = response.await;
                let length = response.body().size_hint().lower();
                if length > ANSWER_BYTES {
                    seat.charge_answer(length as usize).await?;
                }
                if seat.is_evicted() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Evicted>(response.map(|body| Held::new(body, exchange)))
            }
        });
        let limits = self.gate.limits();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // The ledger tells idle connections from heads that do not end.
            .header_read_timeout(None)
            .max_buf_size(limits.head_bytes)
            .serve_connection(
                TokioIo::new(Stream::new(stream, self.seat.clone())),
                service,
            );
        tokio::pin!(connection);
        let (mut stopping, mut leaving) = (false, false);
        let result = loop {
            tokio::select! {
                result = connection.as_mut() => break result,
                () = self.seat.evicted(), if !leaving => {
                    if self.seat.stage() != Some(Stage::Body) {
                        return;
                    }
                    leaving = true;
                }
                () = tokio::time::sleep(REFUSAL_TIME), if leaving => return,
                () = wait_closing(&mut closing), if !stopping => {
                    stopping = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        };
        if let Err(error) = result {
            if error.is_parse_too_large() {
                self.gate.report_long_head(self.port);
            }
            log::debug!(event = "connection-ended", port, error:% = error; "");
        }
    }
}

/// Waits until `closing` is true or its sender has been dropped.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}
