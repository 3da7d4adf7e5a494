use std::time::Duration;

use crate::instance::{start_with_retention, wait_until};
use crate::platform::{ONE, TWO, id, start_platform};

/// Time in seconds after which test instances delete ended jobs.
pub(crate) const RETENTION_S: u64 = 1;

/// Time after which the rows of a job that has ended may be deleted.
pub(crate) const RETENTION: Duration = Duration::from_millis(1_000 * RETENTION_S + 200);

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
