use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Response, handler};

use crate::clock;
use crate::node::Shared;

/// Answers that the process runs.
pub(super) struct Live;

#[handler]
impl Live {
    async fn handle(&self, response: &mut Response) {
        response.render("live\n");
    }
}

/// Answers whether the balancer should send callers here.
pub(super) struct Ready(pub(super) Arc<Shared>);

#[handler]
impl Ready {
    async fn handle(&self, response: &mut Response) {
        if self.0.is_ready(clock::now()) {
            response.render("ready\n");
        } else {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            response.render("not ready\n");
        }
    }
}
