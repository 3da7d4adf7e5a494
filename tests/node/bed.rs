//! Entry instances with a document in force, and calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::config::Outcome;
use coriandernotch::demo::{Bed, Client, Reply};
use coriandernotch::fleet::{Digest, Document};
use coriandernotch::node::{Applied, Node};
use http_body_util::Full;
use hyper::Request;

use crate::log_lines::print_lines;

pub(super) const WAIT: Duration = Duration::from_secs(10);

pub(super) fn fleet_document() -> String {
    let key = |workspace: &str| serde_json::json!({"name": "first", "digest": Digest::of(format!("{workspace}-key").as_bytes())});
    serde_json::json!({
        "name": "test",
        "longest-run-ms": 3000,
        "data-centres": [
            {"name": "east", "region": "r"}, {"name": "mid", "region": "r"},
            {"name": "west", "region": "r"},
        ],
        "workspaces": [
            {"name": "red", "share": 1, "limit": 6, "keys": [key("red")]},
            {"name": "blue", "share": 1, "limit": 20, "keys": [key("blue")]},
        ],
        "pools": [
            {"name": "one", "size": 3, "budget": {"unavailable": 1},
             "instances": ["one-east", "one-mid", "one-west"]},
            {"name": "two", "size": 3, "budget": {"unavailable": 1},
             "instances": ["two-east", "two-mid", "two-west"]},
            {"name": "rest", "size": 0, "spare": true, "budget": {"unavailable": 0}},
        ],
        "services": [
            {"name": "one", "pool": "one"},
            {"name": "two", "pool": "two", "workspaces": ["blue"]},
        ],
    })
    .to_string()
}

pub(super) async fn start_bed(nodes: usize) -> Arc<Bed> {
    print_lines();
    let bed = Arc::new(Bed::start(&fleet_document()).await.unwrap());
    for _ in 0..nodes {
        bed.start_node().await.unwrap();
    }
    apply_document(&bed.nodes()[0], &bed.document).await;
    let has_all_voters = |node: &Arc<Node>| {
        node.shared()
            .control
            .read(|s| s.revision().map_or(0, |r| r.head.voters.len()))
            == nodes
    };
    let ready = bed
        .wait(WAIT, |bed| {
            bed.ready().len() == nodes && bed.nodes().iter().all(has_all_voters)
        })
        .await;
    assert!(ready, "instances did not become ready");
    bed
}

pub(super) async fn apply_document(node: &Arc<Node>, document: &Document) -> u64 {
    let content = serde_json::to_string(document).unwrap();
    for _ in 0..20 {
        let applied = node.shared().apply(&content, None, "test").await;
        if let Applied::Committed(Outcome::Accepted(revision)) = applied {
            return revision.head.version;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the document was not accepted");
}

pub(super) fn address(node: &Node) -> SocketAddr {
    node.shared().member.callers
}

pub(super) async fn call(
    to: SocketAddr,
    method: &str,
    service: &str,
    key: &str,
    id: &str,
) -> Reply {
    try_call(to, method, service, key, id).await.unwrap()
}

pub(super) async fn try_call(
    to: SocketAddr,
    method: &str,
    service: &str,
    key: &str,
    id: &str,
) -> Result<Reply, eyre::Report> {
    let request = Request::builder()
        .method(method)
        .uri(format!("/v1/services/{service}/x"))
        .header("host", "test")
        .header("authorization", format!("Bearer {key}"))
        .header("x-request-id", id)
        .header("x-workspace", key.trim_end_matches("-key"))
        // Long enough that no call reaches its deadline on a loaded machine.
        .header("coriandernotch-deadline-ms", "20000")
        .body(Full::new(Bytes::from(id.to_owned())))
        .unwrap();
    Client::default().call(to, request).await
}

pub(super) fn count_runs(bed: &Bed, id: &str) -> u32 {
    bed.targets.values().map(|t| t.count(id)).sum()
}
