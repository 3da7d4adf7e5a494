//! Entry instances, and the program run against them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::demo::{Bed, Client, Reply};
use coriandernotch::fleet::Digest;
use coriandernotch::node::Node;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use tokio::process::Command;

pub(super) const PROGRAM: &str = env!("CARGO_BIN_EXE_coriandernotch");
pub(super) const WAIT: Duration = Duration::from_secs(20);

pub(super) fn fleet() -> Value {
    json!({
        "name": "test",
        "longest-run-ms": 2000,
        "data-centres": [{"name": "east", "region": "r"}, {"name": "west", "region": "r"}],
        "workspaces": [{"name": "red", "share": 1, "limit": 8,
            "keys": [{"name": "first", "digest": Digest::of(b"red-key")}]}],
        "pools": [
            {"name": "one", "size": 2, "budget": {"unavailable": 1},
             "instances": ["one-east", "one-west"]},
            {"name": "rest", "size": 0, "spare": true, "budget": {"unavailable": 0}},
        ],
        "services": [{"name": "one", "pool": "one"}],
    })
}

/// A file that is removed when the test ends.
pub(super) struct File(std::path::PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        drop(std::fs::remove_file(&self.0));
    }
}

impl File {
    pub(super) fn new(name: &str, content: &Value) -> Self {
        let name = format!("coriandernotch-cli-{name}-{}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, content.to_string()).unwrap();
        Self(path)
    }

    pub(super) fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

/// What a command printed and how it ended.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) code: i32,
    pub(super) out: String,
    pub(super) err: String,
}

pub(super) async fn run(to: SocketAddr, key: &str, arguments: &[&str]) -> Run {
    let output = Command::new(PROGRAM)
        .args(arguments)
        .args(["--to", &to.to_string()])
        .env("CORIANDERNOTCH_KEY", key)
        .output()
        .await
        .unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

pub(super) async fn administer(to: SocketAddr, arguments: &[&str]) -> Run {
    run(to, "administer-key", arguments).await
}

pub(super) async fn start(nodes: usize, name: &str) -> (Bed, SocketAddr) {
    let bed = Bed::start(&fleet().to_string()).await.unwrap();
    for _ in 0..nodes {
        bed.start_node().await.unwrap();
    }
    let to = operators(&bed.nodes()[0]);
    let file = File::new(name, &fleet());
    let applied = administer(to, &["apply", file.path()]).await;
    assert_eq!(applied.code, 0, "{applied:?}");
    let has_joined = |node: &Arc<Node>| {
        node.shared().control.read(|s| {
            let voters = s.revision().map(|r| r.head.voters.len());
            voters == Some(nodes) && s.pending().is_empty()
        })
    };
    // An instance that has not read the list of targets yet is not ready and refuses all calls.
    let serve = |bed: &Bed| bed.ready().len() == nodes && bed.nodes().iter().all(has_joined);
    assert!(bed.wait(WAIT, serve).await, "instances do not serve");
    (bed, to)
}

pub(super) fn operators(node: &Node) -> SocketAddr {
    node.shared().member.operators
}

/// Sends a call and asserts the status of its answer. The body tells the reason of a refusal.
pub(super) async fn assert_answer(to: SocketAddr, key: &str, status: u16) {
    let reply = call(to, key).await;
    let body = String::from_utf8_lossy(&reply.body);
    assert_eq!(reply.status.as_u16(), status, "{to}: {body}");
}

pub(super) async fn call(to: SocketAddr, key: &str) -> Reply {
    let request = Request::builder()
        .uri("/v1/services/one/x")
        .header("host", "test")
        .header("authorization", format!("Bearer {key}"))
        .body(Full::<Bytes>::default())
        .unwrap();
    Client::default().call(to, request).await.unwrap()
}
