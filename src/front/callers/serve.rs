use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::exchange::exchange;
use super::jobs::Desk as Jobs;
use super::meter::Meters;
use super::{Connections, Limits};
use crate::call::Dispatcher;
use crate::claim::Desk;

/// Streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;

/// What the connections of the callers' port share.
pub struct Port {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) claims: Arc<Desk>,
    pub(super) connections: Arc<Connections>,
    pub(super) meters: Meters,
    pub(super) limits: Limits,
    jobs: Option<Arc<Jobs>>,
}

impl Port {
    /// Makes a port that dispatches through `dispatcher` and, if given, takes jobs.
    pub fn new(
        dispatcher: Arc<Dispatcher>,
        claims: Arc<Desk>,
        limits: Limits,
        jobs: Option<Arc<Jobs>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            jobs,
            dispatcher,
            claims,
            connections: Arc::default(),
            meters: Meters::default(),
            limits,
        })
    }

    /// Returns the claims of calls with an idempotency key.
    pub fn claims(&self) -> &Arc<Desk> {
        &self.claims
    }

    /// Returns the idle connections to targets.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }
}

/// Accepts callers until `stop` becomes true, then lets open requests end.
pub async fn serve(port: Arc<Port>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let slots = Arc::new(Semaphore::new(port.limits.connections));
    loop {
        // Above the limit new connections wait in the listen backlog.
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                let (port, stop) = (port.clone(), stop.clone());
                tokio::spawn(async move {
                    serve_connection(port, stream, peer, stop).await;
                    drop(slot);
                });
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

/// The task of one caller's connection.
async fn serve_connection(
    port: Arc<Port>,
    stream: TcpStream,
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
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8 << 10))
        .max_headers(100);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.header_timeout)
        .keep_alive_timeout(limits.header_timeout);
    let service = service_fn(|request: Request<Incoming>| {
        let port = port.clone();
        async move {
            let jobs = port.jobs.clone();
            let jobs = jobs.filter(|_| Jobs::takes(request.uri().path()));
            Ok::<_, Infallible>(match jobs {
                Some(jobs) => jobs.answer(request).await,
                None => exchange(port, request).await,
            })
        }
    });
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
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
