use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coriandernotch::platform::api::Store;
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::Instant;

use crate::instance::start_instance;
use crate::mode::Mode;
use crate::platform::{ONE, THREE, id, start_platform, store_job};
use crate::standin::{Call, serve};

/// Number of connections that are idle when they go silent.
const CONNECTIONS: usize = 6;

/// Time that a read takes, so that concurrent ones use a connection each.
const READ_TIME: Duration = Duration::from_millis(50);

/// Timeout of a read.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which all feeds of an instance wait on connections that are silent.
const SILENCE: Duration = Duration::from_millis(2_100);

/// Time after the silence within which a new job must run: the longest timeout of a feed of jobs
/// and some time for the start.
const MAX_DELAY: Duration = Duration::from_millis(4_000);

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

/// Guards against a leader that waits on a silent connection for good while the store answers on
/// new ones: a job that was accepted meanwhile did not run (rule LOST).
#[tokio::test(flavor = "multi_thread")]
async fn reads_new_jobs_after_its_feeds_went_silent() {
    let (store, address, worker) = start_platform().await;
    store_job(&store, ONE, "lasting");
    let instance = start_instance("silent-feeds", address);
    instance.wait_for_state(ONE, "running").await;
    store.set_mode(Mode::Unresponsive);
    tokio::time::sleep(SILENCE).await;
    store.set_mode(Mode::Normal);
    let begun = Instant::now();
    store_job(&store, THREE, "lasting");
    instance.wait_for_state(THREE, "running").await;
    assert!(begun.elapsed() < MAX_DELAY, "{:?}", begun.elapsed());
    assert_eq!(worker.starts_of(id(ONE)), 1);
}
