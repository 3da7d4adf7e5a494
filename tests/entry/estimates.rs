//! Learned run times in the store.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::handover::terminate;
use crate::instance::{
    Instance, TIMEOUT, request_until, start_instance, start_with_learning, wait_for_metric,
};
use crate::platform::{ONE, TWO, start_platform};
use crate::store::Store;

/// Submits a job of four tasks of an image that take 100 ms, and waits until it is completed.
async fn run_job(instance: &Instance, path: &str) {
    let step = json!({"count": 4, "cpu": 500, "memMb": 10, "estimateMs": 900, "image": "resize"});
    let body = json!({"spec": "100", "steps": [step]});
    request_until(instance.callers, "POST", path, &body, |s, _| s == 200).await;
    instance.wait_for_state(path, "completed").await;
}

/// Waits until the store holds the run times of one image.
async fn wait_for_row(store: &Store) {
    let begun = Instant::now();
    let is_stored = || {
        let row = store.read("estimates", "learned")?;
        (row["images"][0][1] == "resize").then_some(())
    };
    while is_stored().is_none() {
        assert!(begun.elapsed() < TIMEOUT, "the row is not stored");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a new leader that starts from declared run times although its predecessor knew
/// better, and against one that fails because the row is not readable.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_leader_reads_what_the_last_one_learned() {
    let (store, address, _worker) = start_platform().await;
    let mut first = start_with_learning("estimates-1", address);
    run_job(&first, ONE).await;
    wait_for_metric(&first, "estimate_images 1").await;
    wait_for_row(&store).await;
    terminate(&mut first).await;
    let mut second = start_with_learning("estimates-2", address);
    second.wait_for_state(ONE, "completed").await;
    wait_for_metric(&second, "instance_leads 1").await;
    wait_for_metric(&second, "estimate_images 1").await;
    terminate(&mut second).await;
    store.write_raw(
        "estimates",
        "learned",
        br#"{"images": [["w", "resize", -3, "x"]]}"#,
    );
    let third = start_with_learning("estimates-3", address);
    third.wait_for_state(ONE, "completed").await;
    wait_for_metric(&third, "instance_leads 1").await;
    wait_for_metric(&third, "estimate_images 0").await;
    run_job(&third, TWO).await;
    wait_for_row(&store).await;
}

/// Guards against learning without the setting.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_stored_without_the_setting() {
    let (store, address, _worker) = start_platform().await;
    let mut instance = start_instance("estimates-off", address);
    run_job(&instance, ONE).await;
    terminate(&mut instance).await;
    assert!(store.read("estimates", "learned").is_none());
}
