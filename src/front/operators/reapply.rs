use std::sync::Arc;

use salvo::{Depot, Request, Response, handler};

use super::change::Change;
use super::history::find;
use crate::node::Shared;

/// Puts the document of an old version in force as a new version.
pub(super) struct Reapply(pub(super) Arc<Shared>);

#[handler]
impl Reapply {
    async fn handle(&self, request: &mut Request, depot: &mut Depot, response: &mut Response) {
        let change = Change::read(request, depot, "reapply");
        let reply = match change {
            Ok(change) => match find(&self.0, request).await {
                Ok((_, content)) => change.run(&self.0, content).await,
                Err(reply) => reply,
            },
            Err(reply) => reply,
        };
        reply.render(response);
    }
}
