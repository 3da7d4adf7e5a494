use std::collections::BTreeSet;

use crate::instance::start_instance;
use crate::platform::{ONE, start_platform};

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
