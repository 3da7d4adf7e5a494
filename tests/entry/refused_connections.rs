use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::instance::{Instance, start_instance, wait_until};
use crate::platform::{ONE, id, register, start_platform};
use crate::store::Store;
use crate::worker::Worker;

/// Time for which a worker that was polled until now certainly holds its lease: 4.2 s are granted,
/// and the last poll was sent at most 1 s ago.
const LEASE_LEFT: Duration = Duration::from_millis(3_000);

/// Longest time for which workers hold a lease of an earlier leader.
const LONGEST_LEASE: Duration = Duration::from_secs(6);

/// Starts a platform with two workers, and an instance that runs a lasting task on the first.
async fn start_scene(name: &str) -> (Store, SocketAddr, [Worker; 2], Instance) {
    let (store, address, first) = start_platform().await;
    let leader = start_instance(name, address);
    leader.submit(ONE, "lasting").await;
    wait_until("the task runs", || first.running() == 1).await;
    let second = Worker::new("i-2");
    register(&store, "i-2", second.start().await);
    (store, address, [first, second], leader)
}

/// Guards against taking a refused connection for the end of a worker: a link that is cut off
/// refuses connections too, and the task was started a second time beside its run (rule TWICE).
#[tokio::test(flavor = "multi_thread")]
async fn starts_no_task_again_within_the_lease_of_a_worker_that_refuses_connections() {
    let (_store, _address, [first, second], _leader) = start_scene("refused").await;
    // Time for the leader to learn of the second worker.
    sleep(Duration::from_millis(1_500)).await;
    first.cut_off();
    let cut = Instant::now();
    wait_until("the task runs on the other worker", || {
        second.running() == 1
    })
    .await;
    assert!(cut.elapsed() > LEASE_LEFT, "{:?}", cut.elapsed());
}

/// Guards against the same fault after a takeover: the new leader counts the runs of its predecessor
/// as ended on a worker that refuses connections (rule TWICE).
#[tokio::test(flavor = "multi_thread")]
async fn a_new_leader_waits_for_a_worker_that_refuses_connections() {
    let (store, address, [first, second], mut leader) = start_scene("refused-1").await;
    let successor = start_instance("refused-2", address);
    successor.wait_for_state(ONE, "running").await;
    leader.child.kill().unwrap();
    first.cut_off();
    let cut = Instant::now();
    while cut.elapsed() < LONGEST_LEASE {
        assert_eq!(second.starts_of(id(ONE)), 0, "{:?}", cut.elapsed());
        sleep(Duration::from_millis(50)).await;
    }
    let leader = store.read("leaders", "owner").unwrap();
    assert_eq!(leader["token"], 2, "{leader}");
}
