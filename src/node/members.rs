use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

use super::Shared;
use crate::peer::{Member, dial};
use crate::platform::Error;

/// Time between two scans of the member rows.
const SCAN_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum rows of one read.
const PAGE_ROWS: usize = 256;

/// Scans the member rows periodically and dials the members whose name sorts after this instance's,
/// so that each pair of instances has one connection.
pub(super) async fn maintain_peers(shared: Arc<Shared>) {
    loop {
        let roster_version = shared.control.dispatcher().roster_version();
        match read_members(&shared).await {
            Ok(members) => apply_members(&shared, members, roster_version),
            Err(error) => log::warn!(event = "member-scan-failed", error:% = error; ""),
        }
        if shared
            .pause_until(&shared.members_wanted, SCAN_INTERVAL)
            .await
        {
            return;
        }
    }
}

async fn read_members(shared: &Shared) -> Result<Vec<Member>, Error> {
    let mut members = Vec::new();
    let mut after: Arc<str> = Member::PREFIX.into();
    loop {
        let rows = shared
            .platform
            .table
            .scan(Member::PREFIX.into(), after.clone(), PAGE_ROWS)
            .await?;
        members.extend(
            rows.iter()
                .filter_map(|row| serde_json::from_str(&row.value).ok()),
        );
        match rows.last() {
            Some(last) if rows.len() == PAGE_ROWS => after = last.key.clone(),
            _ => return Ok(members),
        }
    }
}

fn apply_members(shared: &Arc<Shared>, members: Vec<Member>, roster_version: u64) {
    let own = &shared.member.name;
    let mut dialled_peers = shared.dialled_peers.lock().expect("dialled peers lock");
    dialled_peers.retain(|name, peer| {
        let listed = members.iter().any(|m| m.name == *name);
        if !listed {
            peer.send_replace(None);
        }
        listed
    });
    for member in members.iter().filter(|m| m.name > *own) {
        let known = dialled_peers.get(&member.name);
        match known {
            Some(peer) => {
                peer.send_if_modified(|old| {
                    let changed = old.as_ref() != Some(member);
                    *old = Some(member.clone());
                    changed
                });
            }
            None => {
                let (sender, receiver) = watch::channel(Some(member.clone()));
                tokio::spawn(dial(shared.hub.clone(), receiver));
                dialled_peers.insert(member.name.clone(), sender);
            }
        }
    }
    drop(dialled_peers);
    let mut scanned = shared.members.lock().expect("members lock");
    *scanned = members;
    shared
        .members_roster_version
        .store(roster_version, Ordering::Release);
}
