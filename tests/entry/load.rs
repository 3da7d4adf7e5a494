use crate::hold::Hold;
use crate::instance::{start_with_retention, wait_until};
use crate::moment::Moment;
use crate::page::Page;
use crate::platform::{ONE, THREE, TWO, id, part_of, start_platform, store_job};
use crate::retention::{RETENTION, RETENTION_S};

/// Guards against a job that was read at the start of the term and ended long before the feed
/// reports it: the leader had forgotten it and started it again (rule TWICE).
#[tokio::test(flavor = "multi_thread")]
async fn starts_no_job_again_that_the_feed_reports_late() {
    let (store, address, worker) = start_platform().await;
    store_job(&store, THREE, "lasting");
    store.set_failing_feed(Some("jobs"));
    let first = Hold {
        table: "jobs",
        part: part_of(THREE),
        page: Page::First,
        moment: Moment::After,
    };
    let second = Hold {
        part: part_of(TWO),
        moment: Moment::Before,
        ..first
    };
    store.holds.add(first);
    store.holds.add(second);
    let instance = start_with_retention("late-feed", address, RETENTION_S);
    store.holds.wait_for_call(first).await;
    store.holds.wait_for_call(second).await;
    instance.submit(TWO, "10").await;
    store.holds.release();
    instance.wait_for_state(TWO, "completed").await;
    instance.wait_for_state(THREE, "running").await;
    tokio::time::sleep(RETENTION).await;
    worker.end_runs(id(THREE));
    instance.wait_for_state(THREE, "completed").await;
    wait_until("the ended job is deleted", || {
        store.read("jobs", id(TWO)).is_none()
    })
    .await;
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
        part: part_of(ONE),
        page: Page::First,
        moment: Moment::After,
    };
    store.holds.add(jobs);
    store.holds.add(Hold {
        table: "progress",
        part: "j0",
        moment: Moment::Before,
        ..jobs
    });
    store.expire_feeds();
    store.holds.wait_for_call(jobs).await;
    assert!(store.read("jobs", id(ONE)).is_some());
    worker.end_runs(id(THREE));
    wait_until("the ended job is deleted", || {
        store.read("jobs", id(ONE)).is_none()
    })
    .await;
    store.holds.release();
    instance.submit(TWO, "10").await;
    instance.wait_for_state(TWO, "completed").await;
    assert_eq!(worker.starts_of(id(ONE)), 1);
}
