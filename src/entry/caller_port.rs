use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;

use super::call;
use super::shared::Shared;
use crate::intake::{self, Port};

/// Accepts connections of callers until `closing` is true, and serves each in its own task.
pub(super) async fn accept(
    shared: Arc<Shared>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let registry = shared.registry.clone();
    intake::serve_until(
        registry,
        Port::Callers,
        listener,
        closing,
        move |request, connection| call::serve(shared.clone(), request, connection),
    )
    .await;
}
