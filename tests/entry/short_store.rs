use std::time::Duration;

use tokio::time::sleep;

use crate::instance::{send_request, start_instance};
use crate::mode::Mode;
use crate::platform::{ONE, TWO, id, job, start_platform};

/// Time for which the store refuses calls, well within the time of a caller.
const SHORTAGE: Duration = Duration::from_millis(500);

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
