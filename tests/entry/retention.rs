use std::time::Duration;

use crate::instance::{start_with_retention, wait_until};
use crate::platform::{ONE, THREE, TWO, id, start_platform};

/// Time in seconds after which test instances delete ended jobs.
pub(crate) const RETENTION_S: u64 = 1;

/// Time after which a job that has ended is deleted with the next write of its partition.
pub(crate) const RETENTION: Duration = Duration::from_millis(1_000 * RETENTION_S + 200);

/// Guards against ended jobs that stay in the store: a write to one partition took those of all
/// partitions off the list of jobs to delete.
#[tokio::test(flavor = "multi_thread")]
async fn deletes_the_ended_jobs_of_each_partition() {
    let (store, address, _worker) = start_platform().await;
    let instance = start_with_retention("retention", address, RETENTION_S);
    let is_stored = |path| store.read("jobs", id(path)).is_some();
    for path in [ONE, TWO] {
        instance.submit(path, "10").await;
        instance.wait_for_state(path, "completed").await;
    }
    tokio::time::sleep(RETENTION).await;
    instance.submit(THREE, "10").await;
    wait_until("a write to the first partition", || !is_stored(ONE)).await;
    assert!(is_stored(TWO));
    instance.submit("/q/00000000000000a4", "10").await;
    wait_until("a write to the second partition", || !is_stored(TWO)).await;
}
