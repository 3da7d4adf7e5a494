use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::{Bytes, Incoming};
use hyper::service::Service as _;
use hyper::{Request, Response, StatusCode};
use salvo::conn::ConnCtrl;
use salvo::http::{ResBody, uri::Scheme};
use salvo::{Router, Service};
use strum::IntoEnumIterator;
use tokio::net::TcpListener;

use super::Route;
use super::guard::Guard;
use crate::document::MAX_BYTES;
use crate::intake::{self, Connection, Fault, Port};
use crate::node::Shared;

/// Serves the operators' port until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let address = match listener.local_addr() {
        Ok(address) => address,
        Err(error) => {
            log::error!(event = "operators-port-failed", error:% = error; "");
            return;
        }
    };
    let registry = shared.port.registry().clone();
    let service = Arc::new(Service::new(make_router(&shared)));
    intake::serve(
        registry,
        Port::Operators,
        listener,
        move |request, connection| respond(service.clone(), address, request, connection),
    )
    .await;
}

/// Reads the body of a request within the limits of its connection and answers it.
async fn respond(
    service: Arc<Service>,
    address: SocketAddr,
    request: Request<Incoming>,
    connection: Arc<Connection>,
) -> Response<ResBody> {
    let (parts, body) = request.into_parts();
    // One byte more than a document may have: the route says what it accepts.
    let body = match intake::read(&connection, body, MAX_BYTES + 1).await {
        Ok(body) => body,
        Err(fault) => return refuse(&fault),
    };
    let (body, charge) = body.into_parts();
    let request = Request::from_parts(parts, Bytes::from(body));
    let (scheme, control) = (Scheme::HTTP, ConnCtrl::new());
    let handler =
        service.hyper_handler(address.into(), address.into(), scheme, None, control, None);
    let response = handler.call(request).await;
    drop(charge);
    response.unwrap_or_else(|error| {
        log::error!(event = "operators-request-failed", error:% = error; "");
        failure(StatusCode::INTERNAL_SERVER_ERROR)
    })
}

fn refuse(fault: &Fault) -> Response<ResBody> {
    failure(match fault {
        Fault::Evicted(_) => StatusCode::SERVICE_UNAVAILABLE,
        Fault::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        Fault::Broken(_) => StatusCode::BAD_REQUEST,
    })
}

fn failure(status: StatusCode) -> Response<ResBody> {
    let mut response = Response::new(ResBody::None);
    *response.status_mut() = status;
    response
}

fn make_router(shared: &Arc<Shared>) -> Router {
    let router = Router::new().hoop(Guard);
    Route::iter().fold(router, |router, route| router.push(route.router(shared)))
}
