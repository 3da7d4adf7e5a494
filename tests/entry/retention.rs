use std::time::Duration;

use coriandernotch::batch::{Progress, State};
use coriandernotch::job_store::Partition;
use serde_json::json;

use crate::instance::{start_with_retention, wait_until};
use crate::platform::{ONE, TWO, id, part_of, start_platform, store_job, store_progress};

/// Time in seconds after which test instances delete ended jobs.
pub(crate) const RETENTION_S: u64 = 1;

/// Time after which the rows of a job that has ended may be deleted.
pub(crate) const RETENTION: Duration = Duration::from_millis(1_000 * RETENTION_S + 200);

/// When the earlier job of an id ended, in milliseconds since 1970.
const ENDED_MS: u64 = 1_700_000_000_000;

/// Guards against ended jobs that stay in the store, and against a deletion of the progress of a job
/// before that of the job, which would then look like a new one to the next leader.
#[tokio::test(flavor = "multi_thread")]
async fn deletes_the_ended_jobs_of_each_partition() {
    let (store, address, _worker) = start_platform().await;
    let instance = start_with_retention("retention", address, RETENTION_S);
    for path in [ONE, TWO] {
        instance.submit(path, "10").await;
        instance.wait_for_state(path, "completed").await;
    }
    let is_stored = |table, path| store.read(table, id(path)).is_some();
    for path in [ONE, TWO] {
        wait_until("the job is deleted, and then its progress", || {
            let (has_progress, is_job) = (is_stored("progress", path), is_stored("jobs", path));
            assert!(has_progress || !is_job, "a job without its progress");
            !has_progress
        })
        .await;
    }
}

/// Guards against the loss of a job whose id was that of an ended one: the leader ended after it had
/// deleted the row of the earlier job and before it deleted the progress.
#[tokio::test(flavor = "multi_thread")]
async fn the_progress_of_an_earlier_job_does_not_end_a_later_one() {
    let (store, address, worker) = start_platform().await;
    store_job(&store, ONE, "10");
    let mut record = store.read("jobs", id(ONE)).unwrap();
    record["arrived-ms"] = json!(ENDED_MS + 60_000);
    let record = record.to_string();
    store.write_in_partition("jobs", part_of(ONE), id(ONE), record.as_bytes());
    let progress = Progress {
        state: State::Completed,
        ended_ms: ENDED_MS,
        ..Progress::default()
    };
    store_progress(&store, ONE, &progress);
    let _instance = start_with_retention("resubmitted", address, 60);
    wait_until("the job runs", || worker.starts_of(id(ONE)) == 1).await;
}

/// Guards against ended jobs that are never deleted because the store refuses the deletion of another
/// one in the same transaction.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_deletion_holds_up_no_other() {
    let (store, address, _worker) = start_platform().await;
    let partition = Partition::of_job(id(ONE));
    let is_beside = |path: &String| Partition::of_job(id(path)) == partition;
    let other = (0..)
        .map(|n| format!("/q/{n:016x}"))
        .find(is_beside)
        .unwrap();
    store.refuse_deletion(id(ONE));
    let instance = start_with_retention("refused-deletion", address, RETENTION_S);
    for path in [ONE, &other] {
        instance.submit(path, "10").await;
    }
    for path in [ONE, &other] {
        instance.wait_for_state(path, "completed").await;
    }
    wait_until("the other job is deleted", || {
        store.read("progress", id(&other)).is_none()
    })
    .await;
    assert!(store.read("jobs", id(ONE)).is_some() && store.refused() > 0);
}
