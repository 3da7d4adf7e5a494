use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::TcpListener;

use crate::intake::{self, Port, Registry};

/// Response of a port that serves the platform or operators.
pub(super) type HttpResponse = Response<Full<Bytes>>;

/// Serves a port whose responses are computed without waiting, with one task for each connection.
/// Bodies of its requests are not read.
pub(super) async fn serve<F>(registry: Arc<Registry>, port: Port, listener: TcpListener, respond: F)
where
    F: Fn(&Request<Incoming>) -> HttpResponse + Clone + Send + Sync + 'static,
{
    intake::serve(registry, port, listener, move |request, connection| {
        connection.complete();
        std::future::ready(respond(&request))
    })
    .await;
}
