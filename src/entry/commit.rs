use std::sync::Arc;

use super::shared::Shared;

/// Stores the submissions of callers, each transaction in a task of its own.
pub(super) async fn store(shared: Arc<Shared>) {
    loop {
        let batch = shared.committer.next_batch().await;
        let shared = shared.clone();
        tokio::spawn(async move { shared.committer.send(&shared.store, &batch).await });
    }
}
