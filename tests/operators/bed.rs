//! Instances with a document in force, and calls of their operators' port.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::demo::{Bed, Client, Reply};
use coriandernotch::fleet::Digest;
use coriandernotch::front::operators::Route;
use coriandernotch::node::Node;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

use crate::log_lines::print_lines;

pub(super) const WAIT: Duration = Duration::from_secs(10);
pub(super) const ADMINISTER: &str = "administer-key";
pub(super) type Headers<'a> = &'a [(&'a str, &'a str)];
pub(super) type Edit = fn(&mut Value);

pub(super) fn fleet() -> Value {
    json!({
        "name": "test",
        "longest-run-ms": 3000,
        "data-centres": [{"name": "east", "region": "r"}, {"name": "west", "region": "r"}],
        "workspaces": [
            {"name": "red", "share": 1, "limit": 6,
             "keys": [{"name": "first", "digest": Digest::of(b"red-key")}]},
        ],
        "pools": [
            {"name": "one", "size": 2, "budget": {"unavailable": 1},
             "instances": ["one-east", "one-west"]},
            {"name": "rest", "size": 0, "spare": true, "budget": {"unavailable": 0}},
        ],
        "services": [{"name": "one", "pool": "one"}],
        "plans": [{"name": "monthly", "pool": "one", "period-days": 21}],
    })
}

/// Answer of the operators' port.
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) text: String,
    pub(super) reply: Reply,
}

impl Answer {
    pub(super) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|_| panic!("not JSON: {}", self.text))
    }
}

/// Entry instances with a document in force and every instance a voter.
pub(super) async fn start(nodes: usize) -> Bed {
    print_lines();
    let bed = Bed::start(&fleet().to_string()).await.unwrap();
    for _ in 0..nodes {
        bed.start_node().await.unwrap();
    }
    let first = &bed.nodes()[0];
    let put = ask(first, "PUT", "/v1/fleet", ADMINISTER, &fleet().to_string()).await;
    assert_eq!(put.status, 200, "{}", put.text);
    let joined = |node: &Arc<Node>| {
        let voters = |s: &coriandernotch::config::State| s.revision().map(|r| r.head.voters.len());
        node.shared()
            .control
            .read(|s| voters(s) == Some(nodes) && s.pending().is_empty())
    };
    let ready = bed
        .wait(WAIT, |bed| {
            bed.ready().len() == nodes && bed.nodes().iter().all(joined)
        })
        .await;
    assert!(ready, "instances did not become ready");
    bed
}

pub(super) async fn ask(node: &Node, method: &str, path: &str, key: &str, body: &str) -> Answer {
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", &*authorization)];
    ask_with(node, method, path, &headers, body.as_bytes()).await
}

pub(super) async fn ask_with(
    node: &Node,
    method: &str,
    path: &str,
    headers: Headers<'_>,
    body: &[u8],
) -> Answer {
    let to = node.shared().member.operators;
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", to.to_string());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::copy_from_slice(body)))
        .unwrap();
    let reply = Client::default().call(to, request).await.unwrap();
    Answer {
        status: reply.status.as_u16(),
        text: String::from_utf8(reply.body.to_vec()).unwrap(),
        reply,
    }
}

/// Puts a document under the condition that `base` is in force.
pub(super) async fn put(node: &Node, key: &str, base: u64, document: &Value) -> Answer {
    let (authorization, base) = (format!("Bearer {key}"), format!("\"{base}\""));
    let headers = [("authorization", &*authorization), ("if-match", &*base)];
    let body = document.to_string();
    ask_with(node, "PUT", "/v1/fleet", &headers, body.as_bytes()).await
}

pub(super) fn version(node: &Node) -> u64 {
    node.shared().control.current().unwrap().version()
}

pub(super) async fn call(node: &Node, key: &str) -> Reply {
    let request = Request::builder()
        .method("GET")
        .uri("/v1/services/one/x")
        .header("host", "test")
        .header("authorization", format!("Bearer {key}"))
        .header("coriandernotch-deadline-ms", "2000")
        .body(Full::default())
        .unwrap();
    Client::default()
        .call(node.shared().member.callers, request)
        .await
        .unwrap()
}

pub(super) async fn events(node: &Node) -> Vec<Value> {
    let answer = ask(node, "GET", "/v1/events", "view-key", "").await;
    answer.json()["events"].as_array().unwrap().clone()
}

pub(super) fn path(route: Route) -> String {
    let path = route.path().replace("{version}", "1");
    path.replace("{name}", "monthly")
        .replace("{action}", "pause")
}
