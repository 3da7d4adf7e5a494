use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use crate::clock;
use crate::config::{HEAD_KEY, Prepare, Revision, Want};
use crate::wire::{Body, Fetched};

/// Maximum wait for the answer of a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a failed fetch is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Peers that are asked in turn before the store is read.
const MAX_PEERS: usize = 3;

/// Fetches documents, heads and proposals that this instance lacks.
pub(super) async fn fetch_missing(shared: Arc<Shared>) {
    loop {
        let wants = shared.control.read(|state| state.wants());
        for want in &wants {
            if !fetch_from_peers(&shared, *want).await {
                fetch_from_store(&shared, *want).await;
            }
        }
        let wait = if wants.is_empty() {
            Duration::from_secs(1)
        } else {
            RETRY_DELAY
        };
        tokio::select! {
            stop = shared.pause(wait) => if stop { return },
            () = shared.hub.wants().notified() => {}
        }
    }
}

async fn fetch_from_peers(shared: &Shared, want: Want) -> bool {
    for link in shared.hub.links().iter().take(MAX_PEERS) {
        let Some(Body::Fetched(fetched)) = link.ask(Body::Fetch(want.into()), PEER_TIMEOUT).await
        else {
            continue;
        };
        if apply_answer(shared, want, fetched) {
            return true;
        }
    }
    false
}

/// Applies the answer of a peer and returns whether `want` is satisfied.
fn apply_answer(shared: &Shared, want: Want, fetched: Fetched) -> bool {
    let now = clock::now();
    let control = &shared.control;
    match want {
        Want::Head(_) => {
            let Some(Ok(revision)) = fetched.head.map(Revision::try_from) else {
                return false;
            };
            control.act(now, |state| state.on_commit(now, &revision));
        }
        Want::Content(_) => {
            let Some(content) = fetched.content else {
                return false;
            };
            control.act(now, |state| state.on_content(now, &content.into()));
        }
        Want::Pending(_) => {
            let Some(Ok(prepare)) = fetched.pending.map(Prepare::try_from) else {
                return false;
            };
            control.prepare(&prepare, now);
        }
    }
    !control.read(|state| state.wants()).contains(&want)
}

async fn fetch_from_store(shared: &Shared, want: Want) {
    match want {
        Want::Content(digest) => {
            match shared.platform.objects.get(digest.to_string().into()).await {
                Ok(Some(content)) => {
                    let Ok(content) = std::str::from_utf8(&content) else {
                        return;
                    };
                    let now = clock::now();
                    shared
                        .control
                        .act(now, |state| state.on_content(now, &content.into()));
                }
                Ok(None) => log::error!(event = "document-missing", digest:% = digest; ""),
                Err(error) => log::warn!(event = "document-read-failed", error:% = error; ""),
            }
        }
        Want::Head(_) => {
            let started = clock::now();
            if let Ok(Some(row)) = shared.platform.table.read(HEAD_KEY.into()).await
                && let Ok(revision) = Revision::from_row(&row)
            {
                let now = clock::now();
                shared
                    .control
                    .act(now, |state| state.on_head_read(now, started, &revision));
            }
        }
        // A proposal whose outcome is open is not stored; only the instances that acknowledged it
        // have it.
        Want::Pending(_) => {}
    }
}
