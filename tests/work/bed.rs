//! Entry instances that hold queues, and calls about jobs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::config::Outcome;
use coriandernotch::demo::{Bed, Client, Reply, Rule, Tally, check_jobs};
use coriandernotch::fleet::Digest;
use coriandernotch::node::{Applied, Node};
use coriandernotch::standin::Worker;
use coriandernotch::standin::worker::Status;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

use crate::log_lines::print_lines;

/// Limit of each wait, long enough that a busy test machine causes no failure.
pub(super) const TIMEOUT: Duration = Duration::from_secs(40);

/// Longest run time in most tests. Runs get leases of half of it, at most 6 s.
pub(super) const LONGEST_RUN_MS: u64 = 12_000;

pub(super) fn fleet_document(longest_run_ms: u64) -> String {
    let key = |workspace: &str| json!({"name": "k", "digest": Digest::of(format!("{workspace}-key").as_bytes())});
    json!({
        "name": "test",
        "longest-run-ms": longest_run_ms,
        "data-centres": [
            {"name": "east", "region": "r"}, {"name": "mid", "region": "r"},
            {"name": "west", "region": "r"},
        ],
        "workspaces": [
            {"name": "red", "share": 1, "limit": 6, "keys": [key("red")]},
            {"name": "blue", "share": 1, "limit": 60, "keys": [key("blue")]},
        ],
        "pools": [
            {"name": "batch", "size": 3, "budget": {"unavailable": 1},
             "instances": ["batch-east", "batch-mid", "batch-west"]},
            {"name": "rest", "size": 0, "spare": true, "budget": {"unavailable": 0}},
        ],
        "queues": [
            {"name": "own", "pool": "batch", "workspaces": ["blue"]},
            {"name": "open", "pool": "batch"},
        ],
    })
    .to_string()
}

pub(super) async fn start_bed(nodes: usize) -> Arc<Bed> {
    let bed = Bed::start(&fleet_document(LONGEST_RUN_MS)).await.unwrap();
    start_nodes(bed, nodes, LONGEST_RUN_MS).await
}

pub(super) async fn start_nodes(bed: Bed, nodes: usize, longest_run_ms: u64) -> Arc<Bed> {
    print_lines();
    let bed = Arc::new(bed);
    for _ in 0..nodes {
        bed.start_node().await.unwrap();
    }
    let shared = bed.nodes()[0].shared().clone();
    let applied = shared
        .apply(&fleet_document(longest_run_ms), None, "test")
        .await;
    assert!(
        matches!(applied, Applied::Committed(Outcome::Accepted(_))),
        "{applied:?}"
    );
    let joined = |node: &Arc<Node>| {
        let control = &node.shared().control;
        control.read(|s| s.revision().map_or(0, |r| r.head.voters.len())) == nodes
    };
    let ready = bed.wait(TIMEOUT, |bed| {
        bed.ready().len() == nodes && bed.nodes().iter().all(joined)
    });
    assert!(ready.await, "instances did not become ready");
    let held = bed.wait(TIMEOUT, |bed| {
        ["own", "open"].iter().all(|q| read_lease(bed, q).1 > 0)
    });
    assert!(held.await, "no instance took the queues");
    bed
}

/// Returns the holder id and the fencing token in the lease row of a queue.
pub(super) fn read_lease(bed: &Bed, queue: &str) -> (u64, u64) {
    let row = bed.store.row(&format!("shards/{queue}"));
    let tenure: Value = row.map_or(Value::Null, |r| serde_json::from_str(&r.value).unwrap());
    let number = |name: &str| tenure[name].as_u64().unwrap_or(0);
    (number("holder"), number("token"))
}

pub(super) fn address(bed: &Bed, node: usize) -> SocketAddr {
    bed.nodes()[node].shared().member.callers
}

pub(super) async fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    body: &Value,
) -> Reply {
    send_with(to, method, path, key, body, None).await
}

pub(super) async fn send_with(
    to: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    body: &Value,
    idempotency_key: Option<&str>,
) -> Reply {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("/v1/{path}"))
        .header("host", "test")
        .header("authorization", format!("Bearer {key}-key"));
    if let Some(key) = idempotency_key {
        request = request.header("idempotency-key", key);
    }
    let body = match body {
        Value::Null => Bytes::new(),
        body => body.to_string().into(),
    };
    let request = request.body(Full::new(body)).unwrap();
    Client::default().call(to, request).await.unwrap()
}

pub(super) fn job_body(run_ms: u64) -> Value {
    json!({"kind": "k", "size": {"processors": 1000, "memory": 512}, "payload": {"run-ms": run_ms}})
}

pub(super) fn parse(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap_or_else(|_| panic!("{reply:?}"))
}

pub(super) async fn submit(bed: &Bed, queue: &str, workspace: &str, run_ms: u64) -> String {
    let path = format!("queues/{queue}/jobs");
    let reply = send(address(bed, 0), "POST", &path, workspace, &job_body(run_ms)).await;
    assert_eq!((reply.status.as_u16(), reply.outcome()), (201, "answered"));
    parse(&reply)["id"].as_str().unwrap().to_owned()
}

/// Returns the state and the reason in the stored row of a job.
pub(super) fn state(bed: &Bed, id: &str) -> (String, String) {
    let (queue, id) = id.rsplit_once('.').unwrap();
    let row = bed.store.row(&format!("jobs/{queue}/{id}")).unwrap();
    let record: Value = serde_json::from_str(&row.value).unwrap();
    let text = |name: &str| record[name].as_str().unwrap().to_owned();
    (text("state"), text("reason"))
}

pub(super) async fn wait_for_states(bed: &Bed, ids: &[String], wanted: &[&str]) {
    let all = |bed: &Bed| ids.iter().all(|id| wanted.contains(&&*state(bed, id).0));
    if !bed.wait(TIMEOUT, all).await {
        let states: Vec<_> = ids.iter().map(|id| state(bed, id)).collect();
        panic!("states {states:?}, wanted {wanted:?}");
    }
}

/// Asserts that no job ran on two workers at once and no workspace exceeded its limit.
pub(super) fn assert_rules(bed: &Bed) {
    let tally = Tally::default();
    check_jobs(bed, &tally, &Default::default());
    for rule in [Rule::Limit, Rule::AtMostOnce] {
        let (checks, violations) = tally.get(rule);
        let now = coriandernotch::clock::now();
        let runs =
            |(name, worker): (&Arc<str>, &Arc<Worker>)| (name.clone(), worker.machine().runs(now));
        assert!(
            checks > 0 && violations == 0,
            "{rule}: {violations} of {checks}; runs {:?}",
            bed.workers.iter().map(runs).collect::<Vec<_>>()
        );
    }
}

pub(super) fn run_statuses(bed: &Bed, id: &str) -> Vec<Status> {
    let now = coriandernotch::clock::now();
    let all = bed.workers.values().flat_map(|w| w.machine().runs(now));
    all.filter(|r| r.id.starts_with(id))
        .map(|r| r.status)
        .collect()
}

/// Returns the instance that holds a queue.
pub(super) fn find_holder(bed: &Bed, queue: &str) -> Arc<Node> {
    let id = read_lease(bed, queue).0;
    let identity = |node: &Arc<Node>| {
        let own = node.shared().control.own().clone();
        let digest = Digest::of(format!("{} {}", own.name, own.incarnation).as_bytes());
        u64::from_str_radix(&digest.to_string()[..16], 16).unwrap() == id
    };
    bed.nodes().into_iter().find(identity).unwrap()
}

pub(super) async fn submit_many(
    bed: &Bed,
    queue: &str,
    workspace: &str,
    run_ms: u64,
    count: usize,
) -> Vec<String> {
    let each = (0..count).map(|_| submit(bed, queue, workspace, run_ms));
    futures_util::future::join_all(each).await
}
