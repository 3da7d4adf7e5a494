use std::net::SocketAddr;
use std::time::Duration;

use coriandernotch::batch::admission::{Outlook, QueueForecast};
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use crate::instance::{
    Instance, TIMEOUT, request_until, send_request, start_instance, start_refusing, wait_until,
};
use crate::platform::{ONE, TWO, id, job, job_with_estimate, start_platform};
use crate::store::Store;

/// Work that takes the only worker much longer than any job can wait.
const LONG: u64 = 1 << 40;

/// Returns the path of one of many further jobs.
fn path(number: u64) -> String {
    format!("/q/{:016x}", 0x1000 + number)
}

/// Submits a job and returns the status and the delay after which the caller is to return.
async fn submit(to: SocketAddr, path: &str, body: &Value) -> (u16, Option<u64>) {
    let stream = TcpStream::connect(to).await.unwrap();
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let request = Request::post(path)
        .header("host", "h.example")
        .header("authorization", "Bearer key-1")
        .header("x-deadline-ms", "3000")
        .body(Full::new(bytes::Bytes::from(body.to_string())))
        .unwrap();
    let answer = sender.send_request(request).await.unwrap();
    let delay = answer.headers().get("retry-after");
    let delay = delay.and_then(|value| value.to_str().ok()?.parse().ok());
    (answer.status().as_u16(), delay)
}

/// Submits new jobs until one is refused early, and returns the delay that its caller is given.
async fn submit_until_refused(to: SocketAddr, body: &Value, first: u64) -> u64 {
    let begun = Instant::now();
    for number in first.. {
        let (status, delay) = submit(to, &path(number), body).await;
        if status == 503 {
            return delay.unwrap();
        }
        assert!(begun.elapsed() < TIMEOUT, "no job is refused");
        sleep(Duration::from_millis(50)).await;
    }
    unreachable!()
}

/// Writes an outlook by which the queue takes no job, in the name of the present leader.
fn write_outlook(store: &Store) {
    let leader = store.read("leaders", "owner").unwrap();
    let outlook = Outlook {
        token: leader["token"].as_u64().unwrap(),
        // The stand-in of the store always shows this time.
        made_ms: 1,
        queues: vec![QueueForecast {
            queue: "q".into(),
            processors: 1_000,
            within_objective: LONG,
            largest_kept: Some(0),
            total: LONG,
            ..QueueForecast::default()
        }],
        over_rate: Vec::new(),
    };
    store.write(
        "leaders",
        "outlook",
        &serde_json::to_value(outlook).unwrap(),
    );
}

/// Starts a leader, and an instance that follows it and refuses jobs by its outlook.
async fn start_scene(name: &str) -> (Store, Instance, Instance) {
    let (store, address, _worker) = start_platform().await;
    let leader = start_instance(&format!("{name}-leader"), address);
    leader.submit(ONE, "10").await;
    leader.wait_for_state(ONE, "completed").await;
    let follower = start_refusing(&format!("{name}-follower"), address);
    request_until(follower.callers, "GET", ONE, &json!({}), |s, _| s == 200).await;
    let writer = store.clone();
    tokio::spawn(async move {
        loop {
            write_outlook(&writer);
            sleep(Duration::from_millis(300)).await;
        }
    });
    (store, leader, follower)
}

/// Guards against answering 503 for a job that another instance has stored (a refusal is not true
/// then), and against jobs that a refusal has stored all the same.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_no_job_that_is_stored() {
    let (store, leader, follower) = start_scene("refusal-stored").await;
    leader.submit(TWO, "10").await;
    let delay = submit_until_refused(follower.callers, &job("10", 1), 0).await;
    assert!(delay >= 1);
    let (status, _) = submit(follower.callers, &path(1_000), &job("10", 1)).await;
    assert_eq!(status, 503);
    for _ in 0..20 {
        let (status, answer) = send_request(follower.callers, "POST", TWO, &job("10", 1)).await;
        assert_eq!(status, 200, "{answer}");
    }
    let refused = path(1_000);
    assert_eq!(store.read("jobs", id(&refused)), None);
    let (status, _) = send_request(follower.callers, "GET", &refused, &json!({})).await;
    assert_eq!(status, 410);
}

/// Guards against refusing an id whose earlier attempt here has no known outcome and is carried out
/// after the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_no_job_whose_write_is_under_way() {
    let (store, _leader, follower) = start_scene("refusal-late").await;
    submit_until_refused(follower.callers, &job("10", 1), 0).await;
    store.delay_submissions(Some(Duration::from_secs(6)));
    let late = path(2_000);
    let begun = Instant::now();
    // An outlook without a backlog lets the first attempt through. The other one follows at once.
    let first = loop {
        assert!(begun.elapsed() < TIMEOUT, "the job is never accepted");
        let leader = store.read("leaders", "owner").unwrap();
        let calm = json!({"token": leader["token"], "made-ms": 1});
        store.write("leaders", "outlook", &calm);
        let (to, path) = (follower.callers, late.clone());
        let first = tokio::spawn(async move { submit(to, &path, &job("10", 1)).await });
        sleep(Duration::from_millis(600)).await;
        if !first.is_finished() {
            break first;
        }
    };
    let (status, _) = submit(follower.callers, &path(2_001), &job("10", 1)).await;
    assert_eq!(status, 503, "other jobs are refused");
    let (status, _) = submit(follower.callers, &late, &job("10", 1)).await;
    assert_ne!(status, 503);
    first.await.unwrap();
    store.delay_submissions(None);
    // Writes of other instances may be carried out late as well.
    let (status, _) = submit(follower.callers, &path(2_002), &job("10", 1)).await;
    assert_eq!(status, 200);
}

/// Guards against refusing a job of which the store does not say whether it holds it.
#[tokio::test(flavor = "multi_thread")]
async fn accepts_a_job_that_it_cannot_look_up() {
    let (store, _leader, follower) = start_scene("refusal-slow").await;
    submit_until_refused(follower.callers, &job("10", 1), 0).await;
    store.set_read_time(Duration::from_millis(800));
    let (status, _) = submit(follower.callers, &path(3_000), &job("10", 1)).await;
    assert_eq!(status, 200);
}

/// Guards against a leader that publishes no outlook, or none by which a full queue refuses jobs.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_queue_refuses_jobs_early() {
    let (store, address, _worker) = start_platform().await;
    let instance = start_refusing("refusal-full", address);
    // Each job fills the worker for 2 s.
    let large = job_with_estimate("2000", 8, 2_000);
    request_until(instance.callers, "POST", ONE, &large, |s, _| s == 200).await;
    for number in 0..30 {
        let (status, _) = submit(instance.callers, &path(number), &large).await;
        assert_eq!(status, 200);
    }
    wait_until("an outlook is published", || {
        let outlook = store.read("leaders", "outlook");
        outlook.is_some_and(|outlook| outlook["queues"][0]["queue"] == "q")
    })
    .await;
    submit_until_refused(instance.callers, &large, 100).await;
}

/// Guards against refusals by instances whose settings do not ask for them.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_nothing_by_default() {
    let (store, address, _worker) = start_platform().await;
    let leader = start_instance("refusal-off-leader", address);
    leader.submit(ONE, "10").await;
    leader.wait_for_state(ONE, "completed").await;
    let follower = start_instance("refusal-off", address);
    request_until(follower.callers, "GET", ONE, &json!({}), |s, _| s == 200).await;
    for number in 0..10 {
        write_outlook(&store);
        sleep(Duration::from_millis(100)).await;
        let (status, _) = submit(follower.callers, &path(number), &job("10", 1)).await;
        assert_eq!(status, 200);
    }
}
