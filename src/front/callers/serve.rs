use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::Instant;

use super::activity::Activity;
use super::bound::Bound;
use super::exchange::exchange;
use super::jobs::Handler as Jobs;
use super::port::Port;
use super::stream::Stream;
use super::tracked::Tracked;

/// Streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;

/// Accepts callers until `stop` becomes true, then lets open requests end.
pub async fn serve(port: Arc<Port>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let slots = Arc::new(Semaphore::new(port.limits.connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &slots) => accepted,
            () = stopped(&mut stop) => break,
        };
        match accepted {
            Ok((slot, stream, peer)) => {
                let (port, stop) = (port.clone(), stop.clone());
                tokio::spawn(serve_connection(port, stream, slot, peer, stop));
            }
            Err(error) => {
                log::warn!(event = "accept-failed", error:% = error; "");
                // Running out of descriptors would otherwise make this loop spin.
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    let all = u32::try_from(port.limits.connections).unwrap_or(u32::MAX);
    drop(slots.acquire_many(all).await);
}

/// Accepts a connection once there is room for it; above the limit connections wait in the listen
/// backlog.
async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> io::Result<(OwnedSemaphorePermit, TcpStream, SocketAddr)> {
    let slot = slots
        .clone()
        .acquire_owned()
        .await
        .map_err(io::Error::other)?;
    let (stream, peer) = listener.accept().await?;
    Ok((slot, stream, peer))
}

/// The task of one caller's connection.
async fn serve_connection(
    port: Arc<Port>,
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
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
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.header_timeout)
        .keep_alive_timeout(limits.header_timeout);
    let activity = Activity::new();
    let service = service_fn(|request: Request<Incoming>| {
        let (port, open) = (port.clone(), activity.open());
        async move {
            let jobs = port.jobs.clone();
            let jobs = jobs.filter(|_| Jobs::takes(request.uri().path()));
            let response = match jobs {
                Some(jobs) => jobs.answer(request).await,
                None => exchange(port, request).await,
            };
            Ok::<_, Infallible>(response.map(|body| Tracked::new(body, open)))
        }
    });
    let stream = TokioIo::new(Stream::new(stream, slot, activity.clone()));
    let mut connection = std::pin::pin!(builder.serve_connection(stream, service));
    let mut looks = tokio::time::interval(limits.look_every());
    let mut stopping = false;
    // Set when the connection takes no new requests, with the time for open ones to end.
    let mut closing: Option<Instant> = None;
    let result = loop {
        tokio::select! {
            result = connection.as_mut() => break result,
            () = stopped(&mut stop), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            _ = looks.tick() => match activity.check(&limits) {
                Bound::Kept => {}
                Bound::Idle if closing.is_none() => {
                    closing = Some(Instant::now());
                    connection.as_mut().graceful_shutdown();
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

/// Waits until `stop` becomes true or its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    drop(stop.wait_for(|stop| *stop).await);
}
