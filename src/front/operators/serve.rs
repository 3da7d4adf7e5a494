use std::sync::Arc;

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use strum::IntoEnumIterator;
use tokio::net::TcpListener;

use super::Route;
use super::guard::Guard;
use crate::node::Shared;

/// Serves the operators' port until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    match TcpAcceptor::try_from(listener) {
        Ok(acceptor) => Server::new(acceptor).serve(make_router(&shared)).await,
        Err(error) => log::error!(event = "operators-port-failed", error:% = error; ""),
    }
}

fn make_router(shared: &Arc<Shared>) -> Router {
    let router = Router::new().hoop(Guard);
    Route::iter().fold(router, |router, route| router.push(route.router(shared)))
}
