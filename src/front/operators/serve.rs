use std::sync::Arc;

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use tokio::net::TcpListener;

use super::fleet::{ReadFleet, WriteFleet};
use super::health::{Live, Ready};
use super::level::SetLevel;
use super::metrics::Scrape;
use super::role::Require;
use super::status::Status;
use crate::node::Shared;
use crate::settings::Role;

/// Serves the operators' port until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    match TcpAcceptor::try_from(listener) {
        Ok(acceptor) => Server::new(acceptor).serve(make_router(&shared)).await,
        Err(error) => log::error!(event = "operators-port-failed", error:% = error; ""),
    }
}

fn make_router(shared: &Arc<Shared>) -> Router {
    let require = |role| Require::new(shared.clone(), role);
    let fleet = Router::with_path("v1/fleet")
        .push(Router::with_hoop(require(Role::View)).get(ReadFleet(shared.clone())))
        .push(Router::with_hoop(require(Role::Operate)).put(WriteFleet(shared.clone())));
    Router::new()
        .push(Router::with_path("healthz").get(Live))
        .push(Router::with_path("readyz").get(Ready(shared.clone())))
        .push(Router::with_path("metrics").get(Scrape))
        .push(fleet)
        .push(super::plans::make_router(shared))
        .push(
            Router::with_path("v1/status")
                .hoop(require(Role::View))
                .get(Status(shared.clone())),
        )
        .push(
            Router::with_path("v1/log-level")
                .hoop(require(Role::Operate))
                .put(SetLevel),
        )
}
