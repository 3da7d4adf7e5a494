use std::sync::Arc;

use super::admit;
use super::shared::Shared;
use crate::clock;

/// Stores the submissions of callers, each transaction in a task of its own.
pub(super) async fn store(shared: Arc<Shared>) {
    loop {
        let batch = shared.committer.next_batch().await;
        let shared = shared.clone();
        tokio::spawn(async move {
            let sent = clock::now();
            shared.committer.send(&shared.store, &batch).await;
            admit::record_call(&shared, clock::now().since(sent));
        });
    }
}
