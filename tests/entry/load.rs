use coriandernotch::batch::{Record, Spec, Step};
use coriandernotch::jobs::Size;
use serde::Serialize;

use crate::hold::{Hold, Moment, Page};
use crate::instance::{start_with_retention, wait_until};
use crate::platform::{ONE, THREE, TWO, id, start_platform};
use crate::retention::{RETENTION, RETENTION_S};
use crate::store::Store;

/// Writes the row of a job of one task into the partition of [`ONE`], as an instance stores it.
fn store_job(store: &Store, path: &str, payload: &str) {
    let step = Step {
        count: 1,
        size: Size::new(10, 10, 0),
        estimate_ms: 100,
        ..Step::default()
    };
    let spec = Spec {
        payload: payload.into(),
        steps: vec![step],
        ..Spec::default()
    };
    let record = Record {
        route: "q".into(),
        service: "s".into(),
        workspace: "w".into(),
        arrived_ms: 0,
        spec,
    };
    write(store, "jobs", path, &record);
}

fn write(store: &Store, table: &str, path: &str, row: &impl Serialize) {
    let content = serde_json::to_vec(row).unwrap();
    store.write_in_partition(table, "j0", id(path), &content);
}

/// Waits until a read is held back.
async fn wait_for_hold(store: &Store, hold: Hold) {
    wait_until("the read is reached", || store.is_reached(hold)).await;
}

/// Guards against a job that was read at the start of the term and ended long before the feed
/// reports it: the leader had forgotten it and started it again (rule TWICE).
#[tokio::test(flavor = "multi_thread")]
async fn starts_no_job_again_that_the_feed_reports_late() {
    let (store, address, worker) = start_platform().await;
    store_job(&store, THREE, "lasting");
    store.set_failing_feed(Some("jobs"));
    let first = Hold {
        table: "jobs",
        part: "j0",
        page: Page::First,
        moment: Moment::After,
    };
    let second = Hold {
        part: "j1",
        moment: Moment::Before,
        ..first
    };
    store.hold(first);
    store.hold(second);
    let instance = start_with_retention("late-feed", address, RETENTION_S);
    wait_for_hold(&store, first).await;
    wait_for_hold(&store, second).await;
    instance.submit(TWO, "10").await;
    store.release();
    instance.wait_for_state(TWO, "completed").await;
    instance.wait_for_state(THREE, "running").await;
    tokio::time::sleep(RETENTION).await;
    worker.end_runs(id(THREE));
    instance.wait_for_state(THREE, "completed").await;
    store.set_failing_feed(None);
    instance.submit(ONE, "10").await;
    instance.wait_for_state(ONE, "completed").await;
    assert_eq!(worker.starts_of(id(TWO)), 1);
}

/// Guards against a job whose rows are deleted between the read of the jobs and the read of their
/// progress: it looked like a new one and was started again (rule TWICE).
#[tokio::test(flavor = "multi_thread")]
async fn starts_no_job_again_that_is_deleted_while_jobs_are_read_again() {
    let (store, address, worker) = start_platform().await;
    let instance = start_with_retention("deleted", address, RETENTION_S);
    instance.submit(ONE, "10").await;
    instance.wait_for_state(ONE, "completed").await;
    instance.submit(THREE, "lasting").await;
    instance.wait_for_state(THREE, "running").await;
    tokio::time::sleep(RETENTION).await;
    let jobs = Hold {
        table: "jobs",
        part: "j0",
        page: Page::First,
        moment: Moment::After,
    };
    store.hold(jobs);
    store.hold(Hold {
        table: "progress",
        moment: Moment::Before,
        ..jobs
    });
    store.expire_feeds();
    wait_for_hold(&store, jobs).await;
    assert!(store.read("jobs", id(ONE)).is_some());
    worker.end_runs(id(THREE));
    wait_until("the ended job is deleted", || {
        store.read("jobs", id(ONE)).is_none()
    })
    .await;
    store.release();
    instance.submit(TWO, "10").await;
    instance.wait_for_state(TWO, "completed").await;
    assert_eq!(worker.starts_of(id(ONE)), 1);
}
