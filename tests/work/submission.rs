//! Submission, queries and cancellation.

use std::time::Duration;

use coriandernotch::standin::worker::Status;
use coriandernotch::standin::{Fault, Kind};
use serde_json::{Value, json};

use super::bed::{
    address, assert_rules, job_body, parse, run_statuses, send, send_with, start_bed, state,
    submit, submit_many, wait_for_states,
};

/// Guards against a job that is lost between submission and end, and against wrong answers about
/// its state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_runs_once_and_its_caller_can_query_it() {
    let bed = start_bed(3).await;
    let mut ids = Vec::new();
    for (queue, workspace) in [("open", "red"), ("open", "blue"), ("own", "blue")] {
        ids.push(submit(&bed, queue, workspace, 50).await);
    }
    wait_for_states(&bed, &ids, &["succeeded"]).await;
    for (id, workspace) in ids.iter().zip(["red", "blue", "blue"]) {
        assert_eq!(run_statuses(&bed, id), [Status::Succeeded]);
        let path = format!("jobs/{id}");
        let reply = send(address(&bed, 1), "GET", &path, workspace, &Value::Null).await;
        assert_eq!(parse(&reply)["state"], "succeeded");
        let reply = send(address(&bed, 2), "DELETE", &path, workspace, &Value::Null).await;
        assert_eq!(parse(&reply)["result"], "already ended");
    }
    let other = format!("jobs/{}", ids[0]);
    let reply = send(address(&bed, 0), "GET", &other, "blue", &Value::Null).await;
    assert_eq!(reply.status, 404, "a job of another workspace");
    let mut seen = Vec::new();
    let mut after = String::new();
    loop {
        let path = format!("queues/open/jobs?limit=1{after}");
        let page = parse(&send(address(&bed, 1), "GET", &path, "red", &Value::Null).await);
        let jobs = page["jobs"].as_array().unwrap();
        seen.extend(jobs.iter().map(|j| j["id"].as_str().unwrap().to_owned()));
        match page["next"].as_str() {
            Some(next) => after = format!("&after={next}"),
            None => break,
        }
    }
    assert_eq!(seen, [ids[0].clone()]);
    assert_rules(&bed);
}

/// Guards against jobs accepted from callers who may not submit them, and against wrong reasons for
/// a refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_name_their_reason() {
    let bed = start_bed(1).await;
    let empty = json!({"kind": "k", "size": {"processors": 0, "memory": 1}});
    let long =
        json!({"kind": "k", "size": {"processors": 1, "memory": 1}, "payload": "x".repeat(20_000)});
    let cases = [
        (
            "withdrawn or unknown key",
            "open",
            "green",
            job_body(1),
            401,
        ),
        ("queue of another workspace", "own", "red", job_body(1), 403),
        ("unknown queue", "none", "red", job_body(1), 404),
        ("empty size", "open", "red", empty, 400),
        ("malformed job", "open", "red", json!({"kind": 1}), 400),
        ("payload too long", "open", "red", long, 413),
    ];
    for (name, queue, workspace, body, status) in cases {
        let path = format!("queues/{queue}/jobs");
        let reply = send(address(&bed, 0), "POST", &path, workspace, &body).await;
        let got = (reply.status.as_u16(), reply.outcome());
        assert_eq!(got, (status, "not-run"), "{name}");
    }
    assert!(bed.store.rows("jobs/").is_empty());
    let giant = json!({"kind": "k", "size": {"processors": 99_000, "memory": 1}});
    let reply = send(address(&bed, 0), "POST", "queues/open/jobs", "red", &giant).await;
    let id = parse(&reply)["id"].as_str().unwrap().to_owned();
    wait_for_states(&bed, std::slice::from_ref(&id), &["refused"]).await;
    assert_eq!(state(&bed, &id).1, "too-large");
    assert_eq!(run_statuses(&bed, &id), []);
}

/// Guards against a submission that is accepted twice, lost, or answered wrongly when it is
/// repeated or the store fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_submissions_and_lost_responses_create_one_job() {
    let bed = start_bed(1).await;
    let to = address(&bed, 0);
    let post = |key: &'static str, body: Value| async move {
        send_with(to, "POST", "queues/open/jobs", "blue", &body, Some(key)).await
    };
    let first = post("a", job_body(20)).await;
    let again = post("a", job_body(20)).await;
    assert_eq!((first.status.as_u16(), again.status.as_u16()), (201, 200));
    assert_eq!(parse(&first)["id"], parse(&again)["id"]);
    assert_eq!(post("a", job_body(30)).await.status, 422);
    bed.store.faults().inject(Kind::Write, vec![Fault::Lose; 6]);
    let lost = post("b", job_body(20)).await;
    assert!([201, 200].contains(&lost.status.as_u16()), "{lost:?}");
    bed.store.faults().clear();
    bed.store.faults().set_outage(true);
    let down = post("c", job_body(20)).await;
    assert_eq!((down.status.as_u16(), down.outcome()), (503, "not-run"));
    bed.store.faults().set_outage(false);
    assert_eq!(bed.store.rows("jobs/open/").len(), 2);
    let ids = [&first, &lost].map(|r| parse(r)["id"].as_str().unwrap().to_owned());
    wait_for_states(&bed, &ids, &["succeeded"]).await;
    for id in &ids {
        assert_eq!(run_statuses(&bed, id), [Status::Succeeded]);
    }
}

/// Guards against a job that runs although its caller was told that it did not, and against
/// cancellations that block the queue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancellations_that_race_with_starts_are_answered_truthfully() {
    let bed = start_bed(2).await;
    // Long runs ensure that both results of a cancellation occur.
    let mut ids = submit_many(&bed, "open", "blue", 20_000, 3).await;
    wait_for_states(&bed, &ids, &["running"]).await;
    ids.extend(submit_many(&bed, "open", "red", 20_000, 12).await);
    ids.extend(submit_many(&bed, "open", "blue", 400, 30).await);
    let cancels = ids.iter().enumerate().map(|(number, id)| {
        let (to, path) = (address(&bed, number % 2), format!("jobs/{id}"));
        let workspace = if (3..15).contains(&number) {
            "red"
        } else {
            "blue"
        };
        async move {
            tokio::time::sleep(Duration::from_millis(number as u64 * 5)).await;
            send(to, "DELETE", &path, workspace, &Value::Null).await
        }
    });
    let replies = futures_util::future::join_all(cancels).await;
    wait_for_states(&bed, &ids, &["cancelled", "succeeded"]).await;
    let mut results = std::collections::BTreeMap::new();
    for (id, reply) in ids.iter().zip(&replies) {
        let result = parse(reply)["result"].as_str().unwrap().to_owned();
        match &*result {
            "cancelled before it ran" => assert_eq!(run_statuses(&bed, id), [], "{id}"),
            "stop requested" => assert!(run_statuses(&bed, id).len() <= 1, "{id}"),
            other => assert_eq!(other, "already ended", "{id}"),
        }
        *results.entry(result).or_insert(0) += 1;
    }
    println!("{results:?}");
    assert!(results["stop requested"] >= 3 && results["cancelled before it ran"] >= 6);
    let next = submit(&bed, "open", "red", 20).await;
    wait_for_states(&bed, &[next], &["succeeded"]).await;
    assert_rules(&bed);
}
