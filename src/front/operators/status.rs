use std::sync::Arc;

use salvo::writing::Json;
use salvo::{Response, handler};
use serde_json::json;

use crate::clock;
use crate::node::Shared;

/// Answers with what this instance knows of itself, its peers and the teams.
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
        let peers: Vec<_> = shared
            .hub
            .links()
            .iter()
            .map(|l| l.voter().name.clone())
            .collect();
        let load = dispatcher.load();
        let teams = shared.control.current().map(|current| {
            let row = |(id, team): (crate::fleet::TeamId, &crate::fleet::Team)| {
                let (running, home, lent) =
                    dispatcher.with_ledger(|l| (l.running(id), l.home(id), l.lent(id)));
                json!({ "name": team.name, "limit": team.limit, "share": team.share,
                    "running": running, "home": home, "lent": lent })
            };
            current.teams().map(row).collect::<Vec<_>>()
        });
        response.render(Json(json!({
            "name": shared.member.name,
            "incarnation": shared.member.incarnation,
            "data-centre": shared.settings.data_centre,
            "ready": shared.is_ready(now),
            "version": version,
            "pending": pending,
            "voters": voters,
            "peers": peers,
            "running": dispatcher.running(),
            "waiting": dispatcher.waiting(),
            "targets": load.targets.len(),
            "teams": teams,
        })));
    }
}
