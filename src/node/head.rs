use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use crate::clock;
use crate::config::{HEAD_KEY, Revision};

/// Time between two reads of the head row. A read proves the configuration current for 3 s, so two
/// reads in a row may fail.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Reads the head row periodically, and fences proposals whose committer disappeared before their
/// outcome was known.
pub(super) async fn poll_head(shared: Arc<Shared>) {
    loop {
        read_head(&shared).await;
        fence_overdue_proposal(&shared).await;
        if shared.pause(READ_INTERVAL).await {
            return;
        }
    }
}

async fn read_head(shared: &Shared) {
    let started = clock::now();
    match shared.platform.table.read(HEAD_KEY.into()).await {
        Ok(Some(row)) => match Revision::from_row(&row) {
            Ok(revision) => {
                let now = clock::now();
                let needs_fetch = shared.control.act(now, |state| {
                    state.on_head_read(now, started, &revision);
                    !state.wants().is_empty()
                });
                if needs_fetch {
                    shared.hub.wants().notify_one();
                }
            }
            Err(error) => log::error!(event = "head-unreadable", error:% = error; ""),
        },
        Ok(None) => {}
        Err(error) => log::warn!(event = "head-read-failed", error:% = error; ""),
    }
}

async fn fence_overdue_proposal(shared: &Shared) {
    let now = clock::now();
    let Some(write) = shared.control.read(|state| state.fence(now)) else {
        return;
    };
    match shared.platform.table.transact(vec![write]).await {
        Ok(_) => log::warn!(event = "proposal-fenced"; ""),
        Err(error) => log::info!(event = "fence-failed", error:% = error; ""),
    }
    read_head(shared).await;
}
