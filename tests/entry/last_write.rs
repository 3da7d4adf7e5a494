use std::time::Duration;

use tokio::time::sleep;

use crate::handover::terminate;
use crate::instance::{start_instance, start_with_grace, wait_until};
use crate::platform::{ONE, THREE, id, start_platform};
use crate::store::Store;

/// Time that the store takes for a write of progress, shorter than the timeout of a call.
const WRITE_TIME: Duration = Duration::from_secs(1);

/// Time within which a leader has read an end.
const READ_TIME: Duration = Duration::from_millis(300);

/// Time in which an instance must end, in seconds: long enough for some slow writes.
const GRACE_S: f64 = 10.0;

/// Guards against an end that is lost when the leader resigns, because it was read during a write and
/// the next one was taken for that write: the next leader started the task again (rule TWICE).
#[tokio::test(flavor = "multi_thread")]
async fn stores_an_end_that_was_read_during_the_last_write_before_a_resignation() {
    let (store, address, worker) = start_platform().await;
    let mut leader = start_with_grace("last-write-1", address, GRACE_S);
    for path in [ONE, THREE] {
        leader.submit(path, "forever").await;
        let is_running = || state(&store, path) == "running";
        wait_until("the start is stored", is_running).await;
    }
    let writes = store.progress_writes();
    store.set_progress_write_time(WRITE_TIME);
    worker.end_runs(id(ONE));
    wait_until("an end is written", || store.progress_writes() > writes).await;
    worker.end_runs(id(THREE));
    sleep(READ_TIME).await;
    terminate(&mut leader).await;
    assert_eq!(
        [ONE, THREE].map(|path| state(&store, path)),
        ["completed"; 2]
    );
    let successor = start_instance("last-write-2", address);
    successor.wait_for_state(THREE, "completed").await;
    assert_eq!(worker.runs().len(), 2, "each task was started once");
}

/// Returns the state of a job that is stored, or an empty text.
fn state(store: &Store, path: &str) -> String {
    let progress = store.read("progress", id(path)).unwrap_or_default();
    progress["state"].as_str().unwrap_or_default().to_owned()
}
