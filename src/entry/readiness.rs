use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use tokio::net::TcpListener;

use super::admin_port::{self, HttpResponse};
use super::shared::Shared;
use crate::clock;
use crate::intake::Port;
use crate::platform::api::READINESS_PATH;

/// Serves the port at which the balancer asks whether this instance takes new connections.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let registry = shared.registry.clone();
    admin_port::serve(registry, Port::Readiness, listener, move |request| {
        respond(&shared, request.uri().path())
    })
    .await;
}

fn respond(shared: &Shared, path: &str) -> HttpResponse {
    let status = match path {
        READINESS_PATH if shared.is_stopping() => StatusCode::SERVICE_UNAVAILABLE,
        READINESS_PATH if shared.has_fresh_config(clock::now()) => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
