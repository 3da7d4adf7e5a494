use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::instance::{send_request, start_instance};
use crate::mode::Mode;
use crate::platform::{ONE, TWO, id, job, start_platform, store_job};

/// Time for which the store refuses calls, well within the time of a caller.
const SHORTAGE: Duration = Duration::from_millis(500);

/// Time after which no call of a feed that began before is under way.
const FEED_TIME: Duration = Duration::from_millis(1_200);

/// Guards against a submission that is refused because the store refused one call, although its
/// caller had time for another.
#[tokio::test(flavor = "multi_thread")]
async fn tries_again_what_the_store_refuses() {
    let (store, address, worker) = start_platform().await;
    let instance = start_instance("short-store", address);
    instance.submit(ONE, "10").await;
    instance.wait_for_state(ONE, "completed").await;
    store.set_mode(Mode::RateLimited);
    let callers = instance.callers;
    let submission =
        tokio::spawn(async move { send_request(callers, "POST", TWO, &job("10", 1)).await });
    sleep(SHORTAGE).await;
    store.set_mode(Mode::Normal);
    let (status, answer) = submission.await.unwrap();
    assert_eq!(status, 200, "{answer}");
    instance.wait_for_state(TWO, "completed").await;
    assert_eq!(worker.starts_of(id(TWO)), 1);
}

/// Guards against a job that is stored although its caller has gone and may have been told by another
/// instance that it is refused.
#[tokio::test(flavor = "multi_thread")]
async fn does_not_store_the_job_of_a_caller_that_has_gone() {
    let (store, address, _worker) = start_platform().await;
    let instance = start_instance("gone-caller", address);
    instance.submit(TWO, "10").await;
    store.set_mode(Mode::RateLimited);
    let body = job("10", 1).to_string();
    let head = format!(
        "POST {ONE} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer key-1\r\n\
         x-deadline-ms: 3000\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut caller = TcpStream::connect(instance.callers).await.unwrap();
    caller.write_all((head + &body).as_bytes()).await.unwrap();
    sleep(SHORTAGE).await;
    drop(caller);
    sleep(Duration::from_millis(100)).await;
    store.set_mode(Mode::Normal);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(store.read("jobs", id(ONE)), None);
    instance.submit(ONE, "10").await;
    assert!(store.read("jobs", id(ONE)).is_some());
}

/// Guards against a leader that never knows a job because one refused read of a partition makes it read
/// all of them again.
#[tokio::test(flavor = "multi_thread")]
async fn reads_all_jobs_again_from_a_store_that_refuses_some_reads() {
    let (store, address, _worker) = start_platform().await;
    let instance = start_instance("short-of-reads", address);
    instance.submit(ONE, "10").await;
    instance.wait_for_state(ONE, "completed").await;
    store.set_failing_feed(Some("jobs"));
    sleep(FEED_TIME).await;
    store_job(&store, TWO, "10");
    store.expire_feeds();
    store.set_mode(Mode::ShortOfReads);
    store.set_failing_feed(None);
    instance.wait_for_state(TWO, "completed").await;
}
