use std::collections::BTreeSet;

use coriandernotch::batch::{Progress, State};
use coriandernotch::job_store::Partition;
use serde_json::json;

use crate::instance::{send_request, start_for_earlier, start_instance, wait_until};
use crate::platform::{ONE, THREE, TWO, id, start_platform, store_job_in, store_progress};
use crate::retention::RETENTION_S;

/// Number of jobs that a test submits, and of the partitions in which they must be at least.
const JOBS: u64 = 60;
const MIN_PARTITIONS: usize = 40;

/// Guards against jobs in few partitions: each carries out one transaction after the other, so two of
/// them stored five jobs a second while the store was slow.
#[tokio::test(flavor = "multi_thread")]
async fn spreads_jobs_over_many_partitions() {
    let (store, address, _worker) = start_platform().await;
    let instance = start_instance("spread", address);
    for number in 0..JOBS {
        instance.submit(&format!("/q/{number:016x}"), "10").await;
    }
    instance.submit(ONE, "10").await;
    let partitions: BTreeSet<String> = store.partitions("jobs").into_iter().collect();
    assert!(partitions.len() >= MIN_PARTITIONS, "{partitions:?}");
    assert!(partitions.iter().all(|name| name.starts_with('s')));
    instance.wait_for_state(ONE, "completed").await;
    // One fence for each partition of progress.
    assert_eq!(store.partitions("terms"), ["j0", "j1"]);
}

/// Guards against losing or doubling the jobs that an instance of an earlier version has stored: by a
/// takeover, a query, a repeated submission or a cancellation.
#[tokio::test(flavor = "multi_thread")]
async fn finds_the_jobs_of_an_earlier_version() {
    let (store, address, worker) = start_platform().await;
    for path in [ONE, TWO] {
        store_job_in(&store, Partition::of_progress(id(path)), path, "lasting");
    }
    let mut first = start_instance("earlier-1", address);
    for path in [ONE, TWO] {
        first.wait_for_state(path, "running").await;
        first.submit(path, "lasting").await;
    }
    let second = start_instance("earlier-2", address);
    second.wait_for_state(ONE, "running").await;
    let (status, _) = send_request(second.callers, "DELETE", TWO, &json!({})).await;
    assert_eq!(status, 200);
    second.wait_for_state(TWO, "cancelled").await;
    first.child.kill().unwrap();
    wait_until("the other instance leads", || {
        store
            .read("leaders", "owner")
            .is_some_and(|row| row["token"] == 2)
    })
    .await;
    second.submit("/q/00000000000000a5", "10").await;
    second
        .wait_for_state("/q/00000000000000a5", "completed")
        .await;
    second.wait_for_state(ONE, "running").await;
    second.wait_for_state(TWO, "cancelled").await;
    assert_eq!([ONE, TWO].map(|path| worker.starts_of(id(path))), [1, 1]);
}

/// Guards against the progress of a deleted job that is left when its leader ends halfway: a later
/// job of the same id was taken for it.
#[tokio::test(flavor = "multi_thread")]
async fn deletes_the_progress_of_a_job_that_is_gone() {
    let (store, address, worker) = start_platform().await;
    let progress = Progress {
        state: State::Completed,
        ended_ms: 1,
        ..Progress::default()
    };
    store_progress(&store, ONE, &progress);
    let instance = start_instance("orphan", address);
    wait_until("the progress is deleted", || {
        store.read("progress", id(ONE)).is_none()
    })
    .await;
    instance.submit(ONE, "10").await;
    instance.wait_for_state(ONE, "completed").await;
    assert_eq!(worker.starts_of(id(ONE)), 1);
}

/// Guards against jobs that instances of earlier versions do not find while both run: they read only
/// the partitions of progress. Their rows are deleted there as well.
#[tokio::test(flavor = "multi_thread")]
async fn stores_jobs_for_earlier_versions_where_set() {
    let (store, address, worker) = start_platform().await;
    let instance = start_for_earlier("for-earlier", address, RETENTION_S);
    for path in [ONE, TWO] {
        instance.submit(path, "10").await;
        instance.wait_for_state(path, "completed").await;
    }
    assert_eq!(store.partitions("jobs"), ["j0", "j1"]);
    let (status, _) = send_request(instance.callers, "DELETE", THREE, &json!({})).await;
    assert_eq!(status, 410);
    assert_eq!(store.partitions("jobs"), ["j0", "j1"]);
    wait_until("the ended jobs are deleted", || {
        [ONE, TWO]
            .iter()
            .all(|path| store.read("progress", id(path)).is_none())
    })
    .await;
    wait_until("the jobs and the cancellation are deleted", || {
        store.partitions("jobs").is_empty()
    })
    .await;
    assert_eq!([ONE, TWO].map(|path| worker.starts_of(id(path))), [1, 1]);
}
