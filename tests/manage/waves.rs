//! Moves and waves while calls go on.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::demo::Client;
use coriandernotch::node::Node;
use coriandernotch::pools::Phase;
use http_body_util::Full;
use hyper::Request;

use super::cluster::{Cluster, WAIT};

/// Guards against a reboot or a move that interrupts a call, and against a target that receives
/// calls of a service whose pool it has left or not yet joined.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_move_and_reboots_interrupt_no_call() {
    let mut cluster = Cluster::start(2).await;
    cluster
        .bed
        .targets
        .values()
        .for_each(|t| t.set_service_time(Duration::from_millis(60)));
    let callers = cluster.start_callers();
    cluster.document["pools"][1]["size"] = 4.into();
    cluster.document["pools"][2]["size"] = 2.into();
    cluster.add_plan().await;
    cluster
        .wait("a reboot and a move", |c| {
            let moved = c.rows().iter().any(|(name, row)| {
                name.starts_with("rest") && &*row.pool == "two" && row.phase == Phase::Serving
            });
            let maintained = c.rows().iter().any(|(_, row)| row.maintained > 0);
            moved && maintained
        })
        .await;
    // The moved instance receives calls of its new pool.
    cluster
        .wait("a call on the moved instance", |c| {
            c.bed
                .targets
                .iter()
                .any(|(name, t)| name.starts_with("rest") && t.total() > 0)
        })
        .await;
    for (name, target) in &cluster.bed.targets {
        for run in target.runs() {
            let number: usize = run.id.split('-').next().unwrap().parse().unwrap();
            let service = if number.is_multiple_of(2) {
                "one"
            } else {
                "two"
            };
            let is_allowed =
                name.starts_with(service) || (name.starts_with("rest") && service == "two");
            assert!(is_allowed, "{name} ran {}", run.id);
        }
    }
    cluster.finish(callers).await;
}

/// Guards against a maintenance wave that is never completed after its manager was cut off, and
/// against two managers that together exceed the budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_instance_takes_over_during_a_wave() {
    let mut cluster = Cluster::start(3).await;
    let callers = cluster.start_callers();
    cluster.add_plan().await;
    cluster.wait_for_drain().await;
    let holder = cluster.bed.store.row("managers/pools").unwrap();
    let nodes = cluster.bed.nodes();
    let manager = nodes.iter().find(|n| {
        let member = &n.shared().member;
        holder
            .value
            .contains(&format!("{}/{}", member.name, member.incarnation))
    });
    let manager = manager.unwrap();
    // A drain ends once every instance has reported its calls under a roster that contains the
    // drain. One that is cut off before it reads the drain cannot, and holds the wave up.
    cluster.wait_for_drain_at(manager).await;
    // Cut off from the store, it cannot renew the lease; its peers still receive the reports of its
    // calls.
    let name = manager.shared().member.name.clone();
    cluster.bed.store.faults().cut(&name, true);
    cluster.wait("a reboot", |c| c.rebooted() > 0).await;
    cluster
        .wait("the end of a reboot", |c| {
            c.rows().iter().any(|(_, row)| row.maintained > 0)
        })
        .await;
    let tokens: Vec<u64> = cluster.rows().iter().map(|(_, row)| row.token).collect();
    assert!(tokens.iter().any(|token| *token > 1), "{tokens:?}");
    cluster.bed.store.faults().cut(&name, false);
    cluster.finish(callers).await;
}

/// Guards against a reboot that is ordered from stale rows, and against a wave that does not resume
/// after an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wave_resumes_after_an_outage_of_the_store() {
    let mut cluster = Cluster::start(2).await;
    let callers = cluster.start_callers();
    cluster.add_plan().await;
    cluster.wait_for_drain().await;
    cluster.bed.store.faults().set_outage(true);
    let before = cluster.rebooted();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(
        cluster.rebooted(),
        before,
        "no reboot may be ordered without the rows"
    );
    cluster.check();
    cluster.bed.store.faults().set_outage(false);
    cluster
        .wait("a reboot", |c| {
            c.rows().iter().any(|(_, row)| row.maintained > 0)
        })
        .await;
    cluster.finish(callers).await;
}

/// Guards against plans that can be commanded or read only at the managing instance, and against a
/// wave that starts after a pause was accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_see_and_pause_plans_at_any_instance() {
    let mut cluster = Cluster::start(2).await;
    cluster.add_plan().await;
    let nodes = cluster.bed.nodes();
    let ask = async |node: &Arc<Node>, method: &str, path: &str| {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "test")
            .header("authorization", "Bearer administer-key")
            .body(Full::new(Bytes::new()))
            .unwrap();
        let to = node.shared().member.operators;
        let reply = Client::default().call(to, request).await.unwrap();
        let body = serde_json::from_slice(&reply.body).unwrap_or(serde_json::Value::Null);
        (reply.status.as_u16(), body)
    };
    let cases = [
        ("POST", "/v1/plans/reboots/pause", 200),
        ("POST", "/v1/plans/reboots/stop", 404),
        ("POST", "/v1/plans/other/pause", 404),
        ("POST", "/v1/plans/reboots/resume", 200),
        ("POST", "/v1/plans/reboots/pause", 200),
    ];
    for (number, (method, path, status)) in cases.into_iter().enumerate() {
        let answer = ask(&nodes[number % 2], method, path).await;
        assert_eq!(answer.0, status, "{path} {}", answer.1);
    }
    // A drain that began before the pause is cancelled; a reboot may still complete.
    cluster
        .wait("the end of all drains", |c| {
            c.rows().iter().all(|(_, row)| row.phase == Phase::Serving)
        })
        .await;
    let before = cluster.rebooted();
    let end = tokio::time::Instant::now() + WAIT;
    for node in &nodes {
        loop {
            let (status, body) = ask(node, "GET", "/v1/plans").await;
            if status == 200 && body["plans"][0]["wait"] == "paused" {
                assert_eq!(body["plans"][0]["total"], 3);
                assert_eq!(body["plans"][0]["author"], "demo");
                break;
            }
            assert!(tokio::time::Instant::now() < end, "{status} {body}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    assert_eq!(cluster.rebooted(), before);
    let answer = ask(&nodes[0], "POST", "/v1/plans/reboots/withdraw").await;
    assert_eq!(answer.0, 200);
    let answer = ask(&nodes[1], "POST", "/v1/plans/reboots/resume").await;
    assert_eq!(answer.0, 409, "{}", answer.1);
}
