use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

use super::Shared;
use crate::peer::{Member, dial};
use crate::platform::Error;

/// Time between two scans of the members.
const SCAN_EVERY: Duration = Duration::from_secs(2);

/// Rows read at once.
const PAGE: usize = 256;

/// Scans the members' rows and dials those whose name comes after this instance's.
pub(super) async fn members(shared: Arc<Shared>) {
    loop {
        let assigned = shared.control.dispatcher().assigned();
        match scan(&shared).await {
            Ok(members) => take(&shared, members, assigned),
            Err(error) => log::warn!(event = "member-scan-failed", error:% = error; ""),
        }
        if shared
            .pause_unless(&shared.members_wanted, SCAN_EVERY)
            .await
        {
            return;
        }
    }
}

async fn scan(shared: &Shared) -> Result<Vec<Member>, Error> {
    let mut members = Vec::new();
    let mut after: Arc<str> = Member::PREFIX.into();
    loop {
        let rows = shared
            .platform
            .table
            .scan(Member::PREFIX.into(), after.clone(), PAGE)
            .await?;
        members.extend(
            rows.iter()
                .filter_map(|row| serde_json::from_str(&row.value).ok()),
        );
        match rows.last() {
            Some(last) if rows.len() == PAGE => after = last.key.clone(),
            _ => return Ok(members),
        }
    }
}

fn take(shared: &Arc<Shared>, members: Vec<Member>, assigned: u64) {
    let own = &shared.member.name;
    let mut dialled = shared.dialled.lock().expect("dialled lock");
    dialled.retain(|name, peer| {
        let listed = members.iter().any(|m| m.name == *name);
        if !listed {
            peer.send_replace(None);
        }
        listed
    });
    for member in members.iter().filter(|m| m.name > *own) {
        let known = dialled.get(&member.name);
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
                dialled.insert(member.name.clone(), sender);
            }
        }
    }
    drop(dialled);
    let mut known = shared.members.lock().expect("members lock");
    *known = members;
    shared.members_at.store(assigned, Ordering::Release);
}
