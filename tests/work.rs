//! Tests of jobs from submission to end, with entry instances and stand-in workers in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::config::Outcome;
use coriandernotch::demo::{Bed, Client, Reply, Rule, Tally, check_jobs};
use coriandernotch::fleet::Digest;
use coriandernotch::node::{Applied, Node};
use coriandernotch::standin::worker::{Behaviour, Status};
use coriandernotch::standin::{Fault, Kind, Worker};
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

/// Limit of each wait, long enough that a busy test machine causes no failure.
const TIMEOUT: Duration = Duration::from_secs(40);

/// Longest run time in most tests. Runs get leases of half of it, at most 6 s.
const LONGEST_RUN_MS: u64 = 12_000;

fn fleet_document(longest_run_ms: u64) -> String {
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

async fn start_bed(nodes: usize) -> Arc<Bed> {
    let bed = Bed::start(&fleet_document(LONGEST_RUN_MS)).await.unwrap();
    start_nodes(bed, nodes, LONGEST_RUN_MS).await
}

async fn start_nodes(bed: Bed, nodes: usize, longest_run_ms: u64) -> Arc<Bed> {
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
fn read_lease(bed: &Bed, queue: &str) -> (u64, u64) {
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

fn job_body(run_ms: u64) -> Value {
    json!({"kind": "k", "size": {"processors": 1000, "memory": 512}, "payload": {"run-ms": run_ms}})
}

fn parse(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap_or_else(|_| panic!("{reply:?}"))
}

async fn submit(bed: &Bed, queue: &str, workspace: &str, run_ms: u64) -> String {
    let path = format!("queues/{queue}/jobs");
    let reply = send(address(bed, 0), "POST", &path, workspace, &job_body(run_ms)).await;
    assert_eq!((reply.status.as_u16(), reply.outcome()), (201, "answered"));
    parse(&reply)["id"].as_str().unwrap().to_owned()
}

/// Returns the state and the reason in the stored row of a job.
fn state(bed: &Bed, id: &str) -> (String, String) {
    let (queue, id) = id.rsplit_once('.').unwrap();
    let row = bed.store.row(&format!("jobs/{queue}/{id}")).unwrap();
    let record: Value = serde_json::from_str(&row.value).unwrap();
    let text = |name: &str| record[name].as_str().unwrap().to_owned();
    (text("state"), text("reason"))
}

async fn wait_for_states(bed: &Bed, ids: &[String], wanted: &[&str]) {
    let all = |bed: &Bed| ids.iter().all(|id| wanted.contains(&&*state(bed, id).0));
    if !bed.wait(TIMEOUT, all).await {
        let states: Vec<_> = ids.iter().map(|id| state(bed, id)).collect();
        panic!("states {states:?}, wanted {wanted:?}");
    }
}

/// Asserts that no job ran on two workers at once and no workspace exceeded its limit.
fn assert_rules(bed: &Bed) {
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

fn run_statuses(bed: &Bed, id: &str) -> Vec<Status> {
    let now = coriandernotch::clock::now();
    let all = bed.workers.values().flat_map(|w| w.machine().runs(now));
    all.filter(|r| r.id.starts_with(id))
        .map(|r| r.status)
        .collect()
}

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

/// Returns the instance that holds a queue.
fn find_holder(bed: &Bed, queue: &str) -> Arc<Node> {
    let id = read_lease(bed, queue).0;
    let identity = |node: &Arc<Node>| {
        let own = node.shared().control.own().clone();
        let digest = Digest::of(format!("{} {}", own.name, own.incarnation).as_bytes());
        u64::from_str_radix(&digest.to_string()[..16], 16).unwrap() == id
    };
    bed.nodes().into_iter().find(identity).unwrap()
}

async fn submit_many(
    bed: &Bed,
    queue: &str,
    workspace: &str,
    run_ms: u64,
    count: usize,
) -> Vec<String> {
    let each = (0..count).map(|_| submit(bed, queue, workspace, run_ms));
    futures_util::future::join_all(each).await
}

/// Guards against a job that runs twice, or never, when the holder of its queue crashes, or cannot
/// reach the store and still considers itself the holder.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_holder_is_replaced_and_its_runs_continue() {
    for (name, cut_peers) in [("crashed", true), ("cut off from the store only", false)] {
        let bed = start_bed(3).await;
        let ids = submit_many(&bed, "open", "blue", 5_000, 6).await;
        wait_for_states(&bed, &ids, &["running"]).await;
        let (old, token) = read_lease(&bed, "open");
        let node = find_holder(&bed, "open");
        bed.store.faults().cut(&node.shared().member.name, true);
        if cut_peers {
            node.shared().hub.stop();
        }
        let replaced = bed.wait(TIMEOUT, |bed| read_lease(bed, "open").1 > token);
        assert!(replaced.await, "{name}: no other instance took the queue");
        assert_ne!(read_lease(&bed, "open").0, old, "{name}");
        wait_for_states(&bed, &ids, &["succeeded"]).await;
        assert_rules(&bed);
        let continued = ids.iter().filter(|id| run_statuses(&bed, id).len() == 1);
        println!(
            "{name}: {} of {} runs continued",
            continued.count(),
            ids.len()
        );
        let order = coriandernotch::standin::worker::Order {
            shard: "open".into(),
            token,
            lease_ms: 1,
            need: Default::default(),
            real: Default::default(),
            run_ms: 1,
        };
        for worker in bed.workers.values() {
            let now = coriandernotch::clock::now();
            let refused = worker.machine().run("late", order.clone(), now);
            assert!(refused.is_err(), "{name}: an older token was accepted");
        }
    }
}

/// Guards against a job that runs again because a response of the store was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_store_responses_repeat_no_run() {
    let bed = start_bed(2).await;
    let ids = submit_many(&bed, "open", "blue", 300, 10).await;
    for _ in 0..20 {
        let faults = [Fault::Lose, Fault::Pass, Fault::Refuse, Fault::Lose];
        bed.store.faults().inject(Kind::Write, faults);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bed.store.faults().clear();
    wait_for_states(&bed, &ids, &["succeeded"]).await;
    for id in &ids {
        assert_eq!(run_statuses(&bed, id), [Status::Succeeded], "{id}");
    }
    assert_rules(&bed);
}

/// Guards against runs that stop because a store outage is longer than their leases.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_continue_during_a_store_outage() {
    let bed = Bed::start(&fleet_document(6_000)).await.unwrap();
    let bed = start_nodes(bed, 3, 6_000).await;
    let ids = submit_many(&bed, "open", "blue", 5_500, 4).await;
    wait_for_states(&bed, &ids, &["running"]).await;
    bed.store.faults().set_outage(true);
    tokio::time::sleep(Duration::from_secs(5)).await;
    bed.store.faults().set_outage(false);
    wait_for_states(&bed, &ids, &["succeeded"]).await;
    for id in &ids {
        assert_eq!(run_statuses(&bed, id), [Status::Succeeded], "{id}");
    }
    assert_rules(&bed);
}

/// Guards against a job that starts again while its run may still go on, or is lost with its
/// worker.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_is_repeated_only_after_its_worker_was_unreachable_for_its_lease() {
    let mut bed = Bed::start(&fleet_document(4_000)).await.unwrap();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let worker = bed.workers["batch-east"].clone();
    let server = tokio::spawn(worker.serve(listener));
    let mut instance = bed.instances.lock().unwrap()[0].clone();
    assert_eq!(&*instance.name, "batch-east");
    instance.address = address;
    bed.set_instance(instance);
    bed.remove_instance("batch-mid");
    bed.remove_instance("batch-west");
    bed.workers.retain(|name, _| &**name == "batch-east");
    let bed = start_nodes(bed, 1, 4_000).await;
    let id = submit(&bed, "open", "blue", 1_500).await;
    wait_for_states(&bed, std::slice::from_ref(&id), &["running"]).await;
    server.abort();
    wait_for_states(&bed, std::slice::from_ref(&id), &["queued"]).await;
    let listener = tokio::net::TcpListener::bind(address).await.unwrap();
    tokio::spawn(worker.serve(listener));
    wait_for_states(&bed, std::slice::from_ref(&id), &["succeeded"]).await;
    let mut ended = run_statuses(&bed, &id);
    ended.sort_by_key(|status| *status == Status::Succeeded);
    // If the worker becomes unreachable just as the run ends, the first run may have succeeded
    // without the holder learning of it.
    assert_eq!(ended.len(), 2, "{ended:?}");
    assert_eq!(ended[1], Status::Succeeded);
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

/// Guards against a worker that fails every job and so makes the jobs of a whole queue fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_fails_everything_gets_no_more_work() {
    let bed = start_bed(1).await;
    let failing = bed.workers["batch-mid"].clone();
    failing.machine().set_behaviour(Behaviour::FailAll);
    let ids = submit_many(&bed, "open", "blue", 30, 24).await;
    wait_for_states(&bed, &ids, &["succeeded"]).await;
    let before = failing.machine().starts().len();
    assert!(
        before > 0,
        "the failing worker got no job, so the test shows nothing"
    );
    let ids = submit_many(&bed, "open", "blue", 30, 24).await;
    wait_for_states(&bed, &ids, &["succeeded"]).await;
    assert_eq!(failing.machine().starts().len(), before);
    assert_rules(&bed);
}

/// Guards against jobs of two queues that together exceed the limit of their workspace, and prints
/// the number of store writes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_workspace_limit_holds_over_all_queues() {
    let bed = start_bed(3).await;
    let before = (
        bed.store.counters().get(Kind::Write),
        bed.store.counters().rows(),
    );
    let open = submit_many(&bed, "open", "blue", 100, 100);
    let own = submit_many(&bed, "own", "blue", 100, 100);
    let red = submit_many(&bed, "open", "red", 100, 20);
    let (open, own, red) = tokio::join!(open, own, red);
    for ids in [open, own, red] {
        wait_for_states(&bed, &ids, &["succeeded"]).await;
    }
    let counters = bed.store.counters();
    println!(
        "220 jobs: {before:?} {:?} {:?}",
        counters.get(Kind::Write),
        counters.rows()
    );
    assert_rules(&bed);
}
