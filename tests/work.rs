//! Jobs from submission to end, with entry instances and stand-in workers in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::config::Outcome;
use coriandernotch::demo::{Bed, Client, Reply, Rule, Tally, check_jobs};
use coriandernotch::fleet::Digest;
use coriandernotch::node::{Applied, Node};
use coriandernotch::standin::worker::Status;
use coriandernotch::standin::{Fault, Kind};
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

/// Long enough that the load of the machine decides nothing.
const WAIT: Duration = Duration::from_secs(40);

fn fleet() -> String {
    let key =
        |team: &str| json!({"name": "k", "digest": Digest::of(format!("{team}-key").as_bytes())});
    json!({
        "name": "test",
        "longest-run-ms": 12000,
        "data-centres": [
            {"name": "east", "region": "r"}, {"name": "mid", "region": "r"},
            {"name": "west", "region": "r"},
        ],
        "teams": [
            {"name": "red", "share": 1, "limit": 6, "keys": [key("red")]},
            {"name": "blue", "share": 1, "limit": 60, "keys": [key("blue")]},
        ],
        "pools": [
            {"name": "batch", "size": 3, "budget": {"unavailable": 1},
             "instances": ["batch-east", "batch-mid", "batch-west"]},
            {"name": "rest", "size": 0, "spare": true, "budget": {"unavailable": 0}},
        ],
        "queues": [
            {"name": "own", "pool": "batch", "teams": ["blue"]},
            {"name": "open", "pool": "batch"},
        ],
    })
    .to_string()
}

async fn start(nodes: usize) -> Arc<Bed> {
    let bed = Arc::new(Bed::start(&fleet()).await.unwrap());
    for _ in 0..nodes {
        bed.start_node().await.unwrap();
    }
    let shared = bed.nodes()[0].shared().clone();
    let applied = shared.apply(&fleet(), None, "test").await;
    assert!(
        matches!(applied, Applied::Committed(Outcome::Accepted(_))),
        "{applied:?}"
    );
    let joined = |node: &Arc<Node>| {
        let control = &node.shared().control;
        control.read(|s| s.revision().map_or(0, |r| r.head.voters.len())) == nodes
    };
    let ready = bed.wait(WAIT, |bed| {
        bed.ready().len() == nodes && bed.nodes().iter().all(joined)
    });
    assert!(ready.await, "instances did not become ready");
    let held = bed.wait(WAIT, |bed| {
        ["own", "open"].iter().all(|q| holder(bed, q).1 > 0)
    });
    assert!(held.await, "no instance took the queues");
    bed
}

/// Holder and token of a queue.
fn holder(bed: &Bed, queue: &str) -> (u64, u64) {
    let row = bed.store.row(&format!("shards/{queue}"));
    let tenure: Value = row.map_or(Value::Null, |r| serde_json::from_str(&r.value).unwrap());
    let number = |name: &str| tenure[name].as_u64().unwrap_or(0);
    (number("holder"), number("token"))
}

fn address(bed: &Bed, node: usize) -> SocketAddr {
    bed.nodes()[node].shared().member.callers
}

async fn send(to: SocketAddr, method: &str, path: &str, key: &str, body: &Value) -> Reply {
    send_with(to, method, path, key, body, None).await
}

async fn send_with(
    to: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    body: &Value,
    idempotency: Option<&str>,
) -> Reply {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("/v1/{path}"))
        .header("host", "test")
        .header("authorization", format!("Bearer {key}-key"));
    if let Some(key) = idempotency {
        request = request.header("idempotency-key", key);
    }
    let body = match body {
        Value::Null => Bytes::new(),
        body => body.to_string().into(),
    };
    let request = request.body(Full::new(body)).unwrap();
    Client::default().call(to, request).await.unwrap()
}

fn job(run_ms: u64) -> Value {
    json!({"kind": "k", "size": {"processors": 1000, "memory": 512}, "payload": {"run-ms": run_ms}})
}

fn read(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap_or_else(|_| panic!("{reply:?}"))
}

async fn submit(bed: &Bed, queue: &str, team: &str, run_ms: u64) -> String {
    let path = format!("queues/{queue}/jobs");
    let reply = send(address(bed, 0), "POST", &path, team, &job(run_ms)).await;
    assert_eq!((reply.status.as_u16(), reply.outcome()), (201, "answered"));
    read(&reply)["id"].as_str().unwrap().to_owned()
}

/// State and reason of a job in the table.
fn state(bed: &Bed, id: &str) -> (String, String) {
    let (queue, id) = id.rsplit_once('.').unwrap();
    let row = bed.store.row(&format!("jobs/{queue}/{id}")).unwrap();
    let record: Value = serde_json::from_str(&row.value).unwrap();
    let text = |name: &str| record[name].as_str().unwrap().to_owned();
    (text("state"), text("reason"))
}

async fn wait_for(bed: &Bed, ids: &[String], wanted: &[&str]) {
    let all = |bed: &Bed| ids.iter().all(|id| wanted.contains(&&*state(bed, id).0));
    if !bed.wait(WAIT, all).await {
        let states: Vec<_> = ids.iter().map(|id| state(bed, id)).collect();
        panic!("states {states:?}, wanted {wanted:?}");
    }
}

/// Asserts that nothing ran twice at once and no limit was exceeded. Returns the runs of a job.
fn audit(bed: &Bed) {
    let tally = Tally::default();
    check_jobs(bed, &tally, &Default::default());
    for rule in [Rule::Limit, Rule::AtMostOnce] {
        let (checks, violations) = tally.get(rule);
        assert!(
            checks > 0 && violations == 0,
            "{rule}: {violations} of {checks}"
        );
    }
}

fn runs(bed: &Bed, id: &str) -> Vec<Status> {
    let now = coriandernotch::clock::now();
    let all = bed.workers.values().flat_map(|w| w.machine().runs(now));
    all.filter(|r| r.id.starts_with(id))
        .map(|r| r.status)
        .collect()
}

/// Guards against a path that loses a job or answers untruly about it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_runs_once_and_its_caller_can_follow_it() {
    let bed = start(3).await;
    let mut ids = Vec::new();
    for (queue, team) in [("open", "red"), ("open", "blue"), ("own", "blue")] {
        ids.push(submit(&bed, queue, team, 50).await);
    }
    wait_for(&bed, &ids, &["succeeded"]).await;
    for (id, team) in ids.iter().zip(["red", "blue", "blue"]) {
        assert_eq!(runs(&bed, id), [Status::Succeeded]);
        let path = format!("jobs/{id}");
        let reply = send(address(&bed, 1), "GET", &path, team, &Value::Null).await;
        assert_eq!(read(&reply)["state"], "succeeded");
        let reply = send(address(&bed, 2), "DELETE", &path, team, &Value::Null).await;
        assert_eq!(read(&reply)["result"], "already ended");
    }
    let other = format!("jobs/{}", ids[0]);
    let reply = send(address(&bed, 0), "GET", &other, "blue", &Value::Null).await;
    assert_eq!(reply.status, 404, "a job of another team");
    let mut seen = Vec::new();
    let mut after = String::new();
    loop {
        let path = format!("queues/open/jobs?limit=1{after}");
        let page = read(&send(address(&bed, 1), "GET", &path, "red", &Value::Null).await);
        let jobs = page["jobs"].as_array().unwrap();
        seen.extend(jobs.iter().map(|j| j["id"].as_str().unwrap().to_owned()));
        match page["next"].as_str() {
            Some(next) => after = format!("&after={next}"),
            None => break,
        }
    }
    assert_eq!(seen, [ids[0].clone()]);
    audit(&bed);
}

/// Guards against jobs that are taken from callers who may not submit, and wrong reasons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_name_their_reason() {
    let bed = start(1).await;
    let empty = json!({"kind": "k", "size": {"processors": 0, "memory": 1}});
    let long =
        json!({"kind": "k", "size": {"processors": 1, "memory": 1}, "payload": "x".repeat(20_000)});
    let cases = [
        ("withdrawn or unknown key", "open", "green", job(1), 401),
        ("team queue of others", "own", "red", job(1), 403),
        ("unknown queue", "none", "red", job(1), 404),
        ("asks for nothing", "open", "red", empty, 400),
        ("no job", "open", "red", json!({"kind": 1}), 400),
        ("too long", "open", "red", long, 413),
    ];
    for (name, queue, team, body, status) in cases {
        let path = format!("queues/{queue}/jobs");
        let reply = send(address(&bed, 0), "POST", &path, team, &body).await;
        let got = (reply.status.as_u16(), reply.outcome());
        assert_eq!(got, (status, "not-run"), "{name}");
    }
    assert!(bed.store.rows("jobs/").is_empty());
    let giant = json!({"kind": "k", "size": {"processors": 99_000, "memory": 1}});
    let reply = send(address(&bed, 0), "POST", "queues/open/jobs", "red", &giant).await;
    let id = read(&reply)["id"].as_str().unwrap().to_owned();
    wait_for(&bed, std::slice::from_ref(&id), &["refused"]).await;
    assert_eq!(state(&bed, &id).1, "too-large");
    assert_eq!(runs(&bed, &id), []);
}

/// Guards against a submission that is taken twice, lost, or answered untruly when the store
/// fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeats_and_lost_answers_make_one_job() {
    let bed = start(1).await;
    let to = address(&bed, 0);
    let post = |key: &'static str, body: Value| async move {
        send_with(to, "POST", "queues/open/jobs", "blue", &body, Some(key)).await
    };
    let first = post("a", job(20)).await;
    let again = post("a", job(20)).await;
    assert_eq!((first.status.as_u16(), again.status.as_u16()), (201, 200));
    assert_eq!(read(&first)["id"], read(&again)["id"]);
    assert_eq!(post("a", job(30)).await.status, 422);
    bed.store.faults().inject(Kind::Write, vec![Fault::Lose; 6]);
    let lost = post("b", job(20)).await;
    assert!([201, 200].contains(&lost.status.as_u16()), "{lost:?}");
    bed.store.faults().clear();
    bed.store.faults().set_outage(true);
    let down = post("c", job(20)).await;
    assert_eq!((down.status.as_u16(), down.outcome()), (503, "not-run"));
    bed.store.faults().set_outage(false);
    assert_eq!(bed.store.rows("jobs/open/").len(), 2);
    let ids = [&first, &lost].map(|r| read(r)["id"].as_str().unwrap().to_owned());
    wait_for(&bed, &ids, &["succeeded"]).await;
    for id in &ids {
        assert_eq!(runs(&bed, id), [Status::Succeeded]);
    }
}
