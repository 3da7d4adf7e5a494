use std::sync::Arc;

use serde_json::{Value, json};

use crate::call::Dispatcher;
use crate::fleet::Snapshot;

/// Lists the workspaces with their shares and limits and what runs and waits.
pub(super) fn list(dispatcher: &Arc<Dispatcher>, current: &Snapshot) -> Vec<Value> {
    let (demand, reported) = (dispatcher.waiting_by_workspace(), dispatcher.peer_running());
    let rows = current.workspaces().map(|(id, workspace)| {
        let (running, home, lent) =
            dispatcher.with_ledger(|l| (l.running(id), l.quota(id), l.lent(id)));
        let elsewhere = reported.get(&id).copied().unwrap_or(0);
        json!({
            "name": workspace.name, "limit": workspace.limit, "share": workspace.share,
            "running": running, "running-fleet": running + elsewhere,
            "waiting": demand.get(&id).copied().unwrap_or(0),
            "home": home, "lent": lent,
        })
    });
    rows.collect()
}
