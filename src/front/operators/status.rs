mod data_centres;
mod instances;
mod workspaces;

use std::sync::Arc;

use salvo::writing::Json;
use salvo::{Response, handler};
use serde_json::json;

use crate::clock;
use crate::node::Shared;

/// Answers with what this instance knows of itself, its peers and the workspaces.
pub(super) struct Status(pub(super) Arc<Shared>);

#[handler]
impl Status {
    async fn handle(&self, response: &mut Response) {
        let shared = &self.0;
        let now = clock::now();
        let dispatcher = shared.control.dispatcher();
        let (version, pending, voters) = shared.control.read(|state| {
            let head = state.in_force().map(|v| v.head.clone());
            let voters: Vec<_> = head.iter().flat_map(|h| h.voters.clone()).collect();
            (head.map(|h| h.version), state.pending().len(), voters)
        });
        let links = shared.hub.links();
        let peers: Vec<_> = links.iter().map(|l| l.voter().name.clone()).collect();
        let instances = instances::list(shared, &voters);
        let newest = instances.iter().filter_map(|i| i.version).max();
        let lagging = instances.iter().filter(|i| i.version < newest);
        let lagging: Vec<_> = lagging.map(|i| i.name.clone()).collect();
        let current = shared.control.current();
        let current = current.as_deref();
        response.render(Json(json!({
            "name": shared.member.name,
            "incarnation": shared.member.incarnation,
            "data-centre": shared.settings.data_centre,
            "ready": shared.is_ready(now),
            "fresh": dispatcher.is_fresh(now),
            "version": version,
            "pending": pending,
            "voters": voters,
            "peers": peers,
            "instances": instances,
            "lagging": lagging,
            "running": dispatcher.running(),
            "waiting": dispatcher.waiting(),
            "targets": dispatcher.running_load().targets.len(),
            "workspaces": current.map(|c| workspaces::list(dispatcher, c)),
            "data-centres": current.map(|c| data_centres::list(dispatcher, c, now)),
        })));
    }
}
