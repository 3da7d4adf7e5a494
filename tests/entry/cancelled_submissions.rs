use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::instance::{request_until, send_request, start_instance};
use crate::platform::{ONE, TWO, id, job, part_of, start_platform};

/// Time after which the store carries out the write of a job, without an answer.
const STORED_AFTER: Duration = Duration::from_secs(1);

/// Guards against a job that is stored and runs after its cancelling was answered, because the write
/// of the job was still under way (rule UNASKED).
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_not_stored_after_its_cancelling() {
    let (store, address, worker) = start_platform().await;
    let instance = start_instance("cancelled-submission", address);
    // The instance answers, and leads once it has completed a job.
    request_until(instance.callers, "POST", TWO, &job("50", 1), |s, _| {
        s == 200
    })
    .await;
    instance.wait_for_state(TWO, "completed").await;
    store.delay_submissions(Some(STORED_AFTER));
    let callers = instance.callers;
    let submission =
        tokio::spawn(async move { send_request(callers, "POST", ONE, &job("lasting", 1)).await });
    sleep(STORED_AFTER / 4).await;
    let (status, _) = send_request(callers, "DELETE", ONE, &json!({})).await;
    assert_eq!(status, 410, "the job is not stored yet");
    sleep(STORED_AFTER * 2).await;
    store.delay_submissions(None);
    let (status, answer) = submission.await.unwrap();
    assert_ne!(status, 200, "{answer}");
    assert_eq!(store.read("jobs", id(ONE)), None);
    let (status, answer) = send_request(callers, "POST", ONE, &job("lasting", 1)).await;
    assert_eq!(status, 503, "the job is cancelled for good: {answer}");
    let (status, _) = send_request(callers, "GET", ONE, &json!({})).await;
    assert_eq!(status, 410);
    assert_eq!(worker.starts_of(id(ONE)), 0);
}

/// Guards against a job that is reported as stored because the store lists the deletion of its row,
/// which has a version like a row.
#[tokio::test(flavor = "multi_thread")]
async fn a_deleted_row_is_not_taken_for_a_stored_job() {
    let (store, address, _worker) = start_platform().await;
    let instance = start_instance("deleted-row", address);
    instance.submit(TWO, "50").await;
    instance.wait_for_state(TWO, "completed").await;
    let (part, cancellation) = (part_of(ONE), format!("{}.cancel", id(ONE)));
    store.write_in_partition("jobs", part, id(ONE), b"{}");
    store.remove_in_partition("jobs", part, id(ONE));
    store.write_in_partition("jobs", part, &cancellation, b"{}");
    let (status, answer) = send_request(instance.callers, "POST", ONE, &job("50", 1)).await;
    assert_eq!(status, 503, "the job is cancelled: {answer}");
}
