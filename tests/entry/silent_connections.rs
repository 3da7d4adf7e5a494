use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coriandernotch::platform::api::Store;
use futures_util::future::join_all;
use serde_json::json;

use crate::standin::{Call, serve};

/// Number of connections that are idle when they go silent.
const CONNECTIONS: usize = 6;

/// Time that a read takes, so that concurrent ones use a connection each.
const READ_TIME: Duration = Duration::from_millis(50);

/// Timeout of a read.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Guards against connections that were cut off without a reset while they were idle: each of them
/// cost a later call its whole timeout, up to eight in a row (rule LOST).
#[tokio::test]
async fn loses_one_call_to_connections_that_went_silent() {
    let silent = Arc::new(AtomicBool::new(false));
    let is_silent = silent.clone();
    let address = serve(move |call: Call| {
        let hangs = is_silent.load(Ordering::Relaxed) && call.connection < CONNECTIONS;
        async move {
            if hangs {
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(READ_TIME).await;
            Some((200, json!({"rows": [], "hasMore": false, "ver": 1})))
        }
    })
    .await;
    let store = Store::new(address);
    let read = || store.read("jobs", "j0", "", "", TIMEOUT);
    let reads = join_all((0..CONNECTIONS).map(|_| read())).await;
    assert!(reads.iter().all(Result::is_ok));
    silent.store(true, Ordering::Relaxed);
    assert!(read().await.is_err(), "the first call is lost");
    for _ in 0..CONNECTIONS {
        assert!(read().await.is_ok(), "a later call is lost");
    }
}
