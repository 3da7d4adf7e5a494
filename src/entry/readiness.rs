use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::shared::Shared;
use crate::clock;
use crate::platform::api::READINESS_PATH;

/// Tells the balancer whether this instance takes new connections.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let answer = answer(&shared, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!(event = "readiness-connection-ended", error:% = error; "");
            }
        });
    }
}

fn answer(shared: &Shared, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let status = match request.uri().path() {
        READINESS_PATH if shared.is_stopping() => StatusCode::SERVICE_UNAVAILABLE,
        READINESS_PATH if shared.is_fresh(clock::now()) => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}
