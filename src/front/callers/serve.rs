use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::activity::Activity;
use super::body::Body;
use super::bound::Bound;
use super::exchange::exchange;
use super::jobs::Handler as Jobs;
use super::note::note;
use super::place::Place;
use super::port::Port;
use super::reply::Reply;
use super::stream::Stream;
use super::tracked::Tracked;
use crate::admit::Refusal;
use crate::intake::{self, Connection, Evicted, Slot};

/// Bytes that one HTTP/2 connection may have sent ahead.
const WINDOW_BYTES: u32 = 64 << 10;

/// Bytes of an answer that wait to be sent on one HTTP/2 stream.
const SEND_BYTES: usize = 16 << 10;

/// Streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;

/// Time for which a call waits for room. Answers that are not taken give way within it.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);

/// Accepts callers until `stop` becomes true, then lets open requests end.
pub async fn serve(port: Arc<Port>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let sweep = tokio::spawn(port.registry().clone().sweep());
    loop {
        let accepted = tokio::select! {
            accepted = accept(&port, &listener) => accepted,
            () = stopped(&mut stop) => break,
        };
        match accepted {
            Ok((connection, stream, peer)) => {
                let (port, stop) = (port.clone(), stop.clone());
                tokio::spawn(serve_connection(port, stream, connection, peer, stop));
            }
            Err(error) => {
                log::warn!(event = "accept-failed", error:% = error; "");
                // Running out of descriptors would otherwise make this loop spin.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    port.registry().emptied(intake::Port::Callers).await;
    sweep.abort();
}

/// Accepts a connection and waits until it has a place; the next ones wait in the listen backlog.
async fn accept(
    port: &Port,
    listener: &TcpListener,
) -> std::io::Result<(Arc<Connection>, TcpStream, SocketAddr)> {
    let (stream, peer) = listener.accept().await?;
    Ok((
        port.registry().admit(intake::Port::Callers).await,
        stream,
        peer,
    ))
}

/// The task of one caller's connection.
async fn serve_connection(
    port: Arc<Port>,
    stream: TcpStream,
    connection: Arc<Connection>,
    peer: SocketAddr,
    mut stop: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "caller-lost", step = "set-nodelay", peer:% = peer, error:% = error; "");
    }
    let limits = port.limits;
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        // Watched by `Activity`, because hyper counts idle time as well.
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(8 << 10))
        .max_headers(100);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        // Parts that arrived and are not passed on stay within the charge for a connection.
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_send_buf_size(SEND_BYTES)
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.header_timeout)
        .keep_alive_timeout(limits.header_timeout);
    let activity = Activity::new();
    let service = service_fn(|request: Request<Incoming>| {
        let (port, open) = (port.clone(), activity.open());
        let (connection, exchange) = (connection.clone(), connection.open());
        async move {
            let head = connection.charge_exchange(head_bytes(&request)).await?;
            let jobs = port.jobs.clone();
            let jobs = jobs.filter(|_| Jobs::takes(request.uri().path()));
            let (response, slot) = match jobs {
                Some(jobs) => (jobs.answer(request, &connection).await, None),
                None => pass_on(port, request, &connection).await?,
            };
            let place = Place {
                _head: head,
                _slot: slot,
                _exchange: exchange,
            };
            Ok::<_, Evicted>(response.map(|body| Tracked::new(body, open, place)))
        }
    });
    let stream = TokioIo::new(Stream::new(
        intake::Stream::new(stream, connection.clone()),
        activity.clone(),
    ));
    let mut http = std::pin::pin!(builder.serve_connection(stream, service));
    let mut looks = tokio::time::interval(limits.look_every());
    let mut stopping = false;
    // Set when the connection takes no new requests, with the time for open ones to end.
    let mut closing: Option<Instant> = None;
    let result = loop {
        tokio::select! {
            result = http.as_mut() => break result,
            () = stopped(&mut stop), if !stopping => {
                stopping = true;
                http.as_mut().graceful_shutdown();
            }
            () = connection.evicted() => return,
            _ = looks.tick() => match activity.check(&limits) {
                Bound::Kept => {}
                Bound::Idle if closing.is_none() => {
                    closing = Some(Instant::now());
                    http.as_mut().graceful_shutdown();
                }
                Bound::Idle if closing.is_some_and(|s| s.elapsed() < limits.stall_timeout) => {}
                bound @ (Bound::Idle | Bound::Stalled) => {
                    log::debug!(event = "caller-cut", peer:% = peer, bound:? = bound; "");
                    return;
                }
            },
        }
    };
    if let Err(error) = result {
        log::debug!(event = "caller-lost", step = "serve", peer:% = peer, error:% = error; "");
    }
}

/// Passes a call on to a target once there is room for it, or refuses it.
async fn pass_on(
    port: Arc<Port>,
    request: Request<Incoming>,
    connection: &Arc<Connection>,
) -> Result<(Response<Body>, Option<Slot>), Evicted> {
    let Ok(slot) = timeout(ROOM_TIMEOUT, connection.begin_call()).await else {
        let refusal = Reply::from(Refusal::Overloaded);
        note(&port, &refusal, None);
        return Ok((refusal.into_response(), None));
    };
    let slot = slot?;
    // `Guard` bounds the body, which is passed on in parts.
    connection.complete();
    Ok((exchange(port, request).await, Some(slot)))
}

/// Returns the size of a head, which one connection may have many of in HTTP/2.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let headers = request.headers().iter();
    headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

/// Waits until `stop` becomes true or its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    drop(stop.wait_for(|stop| *stop).await);
}
