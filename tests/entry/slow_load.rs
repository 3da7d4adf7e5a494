use std::time::Duration;

use crate::instance::start_instance;
use crate::platform::{ONE, id, start_platform, store_job};

/// Time that one read takes, less than the timeout of the instances.
const SLOW_READ: Duration = Duration::from_millis(900);

/// Rows beside the job, on two more pages. The reads of a new leader, one after another, then take
/// longer than other instances wait for a renewal.
const OTHER_ROWS: usize = 1_000;

/// Guards against a leadership that passes from instance to instance while each of them loads the
/// state: a leader did not renew before it had loaded, and was replaced before that (rule LOST).
#[tokio::test(flavor = "multi_thread")]
async fn leads_on_while_the_state_loads_slowly() {
    let (store, address, worker) = start_platform().await;
    store_job(&store, ONE, "lasting");
    for number in 0..OTHER_ROWS {
        store.write_in_partition("jobs", "j0", &format!("{number:08x}"), b"{}");
    }
    store.set_read_time(SLOW_READ);
    let instances = ["slow-load-1", "slow-load-2"].map(|name| start_instance(name, address));
    instances[0].wait_for_state(ONE, "running").await;
    let leader = store.read("leaders", "owner").unwrap();
    assert_eq!(leader["token"], 1, "{leader}");
    assert_eq!(worker.starts_of(id(ONE)), 1);
}
