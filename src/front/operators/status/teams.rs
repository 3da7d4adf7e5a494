use std::sync::Arc;

use serde_json::{Value, json};

use crate::call::Dispatcher;
use crate::fleet::Snapshot;

/// Lists the teams with their shares and limits and what runs and waits.
pub(super) fn list(dispatcher: &Arc<Dispatcher>, current: &Snapshot) -> Vec<Value> {
    let (demand, reported) = (dispatcher.demand(), dispatcher.reported());
    let rows = current.teams().map(|(id, team)| {
        let (running, home, lent) =
            dispatcher.with_ledger(|l| (l.running(id), l.home(id), l.lent(id)));
        let elsewhere = reported.get(&id).copied().unwrap_or(0);
        json!({
            "name": team.name, "limit": team.limit, "share": team.share,
            "running": running, "running-fleet": running + elsewhere,
            "waiting": demand.get(&id).copied().unwrap_or(0),
            "home": home, "lent": lent,
        })
    });
    rows.collect()
}
