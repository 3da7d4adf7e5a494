use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::sleep;

use crate::instance::{TIMEOUT, send_request, start_with_grace};
use crate::mode::Mode;
use crate::platform::{ONE, job, start_platform};

/// Time between SIGTERM and SIGKILL, in seconds.
const GRACE_S: f64 = 6.0;

/// Share of that time after which the process has ended. The rest is for processors that are slow: an
/// instance with 0.12 of one gets 0.1 s of work done in it.
const SHARE: f64 = 0.85;

/// Time between two submissions.
const INTERVAL: Duration = Duration::from_millis(150);

/// Guards against an instance that is killed at the end of its grace time, because it used up all of
/// that time while the store was slow.
#[tokio::test(flavor = "multi_thread")]
async fn ends_within_its_grace_time_while_the_store_does_not_answer() {
    let (store, address, _worker) = start_platform().await;
    let mut instance = start_with_grace("grace", address, GRACE_S);
    // The end of the job is not stored when the instance stops.
    instance.submit(ONE, "900").await;
    instance.wait_for_state(ONE, "running").await;
    store.set_mode(Mode::SilentWrites);
    let callers = instance.callers;
    let submissions = tokio::spawn(async move {
        for number in 0.. {
            let path = format!("/q/{number:016x}");
            tokio::spawn(async move {
                let body = job("10", 1);
                send_request(callers, "POST", &path, &body).await
            });
            sleep(INTERVAL).await;
        }
    });
    sleep(Duration::from_secs(1)).await;
    kill_process(Pid::from_child(&instance.child), Signal::TERM).unwrap();
    let begun = Instant::now();
    while instance.child.try_wait().unwrap().is_none() {
        assert!(begun.elapsed() < TIMEOUT, "the instance ends after SIGTERM");
        sleep(Duration::from_millis(10)).await;
    }
    submissions.abort();
    let took = begun.elapsed();
    assert!(took.as_secs_f64() < GRACE_S * SHARE, "{took:?}");
}
