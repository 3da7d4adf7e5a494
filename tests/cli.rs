//! Commands of the program as processes against entry instances.

use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::demo::{Bed, Client, Reply};
use coriandernotch::fleet::Digest;
use coriandernotch::node::Node;
use coriandernotch::peer::Member;
use coriandernotch::standin::{self, Fault, Kind, Store};
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coriandernotch");
const WAIT: Duration = Duration::from_secs(20);

fn fleet() -> Value {
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
struct File(std::path::PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        drop(std::fs::remove_file(&self.0));
    }
}

impl File {
    fn new(name: &str, content: &Value) -> Self {
        let name = format!("coriandernotch-cli-{name}-{}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, content.to_string()).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

/// What a command printed and how it ended.
#[derive(Debug)]
struct Run {
    code: i32,
    out: String,
    err: String,
}

async fn run(to: SocketAddr, key: &str, arguments: &[&str]) -> Run {
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

async fn administer(to: SocketAddr, arguments: &[&str]) -> Run {
    run(to, "administer-key", arguments).await
}

async fn start(nodes: usize, name: &str) -> (Bed, SocketAddr) {
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

fn operators(node: &Node) -> SocketAddr {
    node.shared().member.operators
}

/// Sends a call and asserts the status of its answer. The body tells the reason of a refusal.
async fn assert_answer(to: SocketAddr, key: &str, status: u16) {
    let reply = call(to, key).await;
    let body = String::from_utf8_lossy(&reply.body);
    assert_eq!(reply.status.as_u16(), status, "{to}: {body}");
}

async fn call(to: SocketAddr, key: &str) -> Reply {
    let request = Request::builder()
        .uri("/v1/services/one/x")
        .header("host", "test")
        .header("authorization", format!("Bearer {key}"))
        .body(Full::<Bytes>::default())
        .unwrap();
    Client::default().call(to, request).await.unwrap()
}

/// Guards against a key that works before it is issued or after it is withdrawn, and against a
/// secret that is shown twice or stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_key_is_issued_once_works_and_is_withdrawn() {
    let (bed, to) = start(2, "key").await;
    let issued = administer(to, &["key", "issue", "red", "second", "--wait"]).await;
    assert_eq!(issued.code, 0, "{issued:?}");
    let secret = issued
        .out
        .lines()
        .find_map(|line| line.strip_prefix("secret: "))
        .unwrap();
    assert_eq!(secret.len(), 64);
    for node in bed.nodes() {
        assert_answer(node.shared().member.callers, secret, 200).await;
    }
    let again = administer(to, &["key", "issue", "red", "second"]).await;
    assert_eq!(again.code, 2, "{again:?}");
    let rows = bed.store.rows("");
    assert!(rows.iter().all(|row| !row.value.contains(secret)));
    for node in bed.nodes() {
        let document = node
            .shared()
            .control
            .read(|s| s.in_force().cloned())
            .unwrap()
            .content;
        assert!(
            !document.contains(secret)
                && document.contains(&Digest::of(secret.as_bytes()).to_string())
        );
    }
    for expected in ["version", "nothing to change"] {
        let withdrawn = administer(to, &["key", "withdraw", "red", "second", "--wait"]).await;
        assert_eq!(withdrawn.code, 0, "{withdrawn:?}");
        assert!(format!("{withdrawn:?}").contains(expected), "{withdrawn:?}");
    }
    for node in bed.nodes() {
        assert_answer(node.shared().member.callers, secret, 401).await;
        assert_answer(node.shared().member.callers, "red-key", 200).await;
    }
}

/// Guards against commands that change the wrong thing or end with a wrong exit code.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn commands_end_with_their_exit_codes() {
    let (bed, to) = start(2, "codes").await;
    let mut document = fleet();
    document["workspaces"][0]["limit"] = 9.into();
    let (valid, changed) = (
        File::new("valid", &fleet()),
        File::new("changed", &document),
    );
    let invalid = File::new(
        "invalid",
        &json!({"name": "x", "workspaces": 5, "pools": []}),
    );
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let admin = "administer-key";
    let cases: [(&[&str], SocketAddr, &str, i32, &str); 22] = [
        (
            &["diff", changed.path()],
            to,
            "view-key",
            0,
            "workspaces[red].limit: 8 -> 9",
        ),
        (
            &["diff", changed.path()],
            to,
            "view-key",
            0,
            "red runs at most 9 units, before 8",
        ),
        (
            &["diff", changed.path(), "--format", "json"],
            to,
            "view-key",
            0,
            "\"kind\":\"limit\"",
        ),
        (&["diff", invalid.path()], to, "view-key", 2, "workspaces"),
        (&["diff", "/no/such/file"], to, "view-key", 1, "cannot read"),
        (&["status"], to, "view-key", 0, "entry-1"),
        (
            &["status", "--format", "json"],
            to,
            "view-key",
            0,
            "\"lagging\":[",
        ),
        (&["status"], to, "wrong", 1, "401"),
        (&["status"], nowhere, "view-key", 1, "step=connect"),
        (&["history"], to, "view-key", 0, "author=demo"),
        (
            &["history", "--format", "json"],
            to,
            "view-key",
            0,
            "\"versions\":[",
        ),
        (&["history", "--format", "xml"], to, "view-key", 2, "usage"),
        (
            &["data-centre", "out", "west", "--wait"],
            to,
            "operate-key",
            0,
            "in force everywhere",
        ),
        (&["data-centre", "in", "west"], to, "view-key", 1, "403"),
        (&["data-centre", "in", "south"], to, admin, 2, "south"),
        (
            &["data-centre", "off", "west"],
            to,
            admin,
            2,
            "accepted out, in",
        ),
        (&["key", "issue", "blue", "k"], to, admin, 2, "blue"),
        (&["key", "withdraw", "red", "k"], to, admin, 2, "no key"),
        (
            &["key", "issue", "red", "third"],
            to,
            "operate-key",
            1,
            "403",
        ),
        (
            &["apply", valid.path(), "--if-version", "999"],
            to,
            admin,
            3,
            "another change",
        ),
        (&["apply", invalid.path()], to, admin, 2, "workspaces"),
        (
            &["apply", changed.path(), "--wait"],
            to,
            admin,
            0,
            "in force everywhere",
        ),
    ];
    for (arguments, to, key, code, text) in cases {
        let run = run(to, key, arguments).await;
        let both = format!("{}{}", run.out, run.err);
        assert_eq!(run.code, code, "{arguments:?}: {run:?}");
        assert!(both.contains(text), "{arguments:?}: {run:?}");
        assert!(
            !both.contains(key) || key == "wrong",
            "{arguments:?}: {run:?}"
        );
        assert!(
            code == 0 || !run.out.contains("secret"),
            "{arguments:?}: {run:?}"
        );
    }
    assert_eq!(
        bed.nodes()[1]
            .shared()
            .control
            .current()
            .unwrap()
            .document()
            .unwrap()
            .workspaces[0]
            .limit,
        9
    );
}

/// Guards against a lost race or a lost answer reported as a failure, and the other way round.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_answers_and_races_end_truthfully() {
    let (bed, to) = start(1, "lost").await;
    // The manager of pools reads and writes rows of its own meanwhile.
    bed.store.faults().aim(&["audit/", "fleet/"]);
    // The audit row passes, the change takes effect, its answer and all reads are lost.
    bed.store
        .faults()
        .inject(Kind::Write, [Fault::Pass, Fault::Lose]);
    bed.store.faults().inject(Kind::Read, [Fault::Refuse; 60]);
    let unknown = administer(to, &["key", "issue", "red", "second"]).await;
    assert_eq!(unknown.code, 4, "{unknown:?}");
    assert!(!unknown.out.contains("secret"), "{unknown:?}");
    bed.store.faults().set_outage(true);
    let failed = administer(to, &["data-centre", "out", "west"]).await;
    assert_eq!(failed.code, 1, "{failed:?}");
    bed.store.faults().clear();
    let settled = |bed: &Bed| {
        bed.nodes()[0]
            .shared()
            .control
            .read(|s| s.pending().is_empty())
    };
    assert!(bed.wait(WAIT, settled).await);
    // Five edits at once: each is made anew on what the others wrote.
    let edits = (0..5).map(|n| {
        let name = format!("race-{n}");
        tokio::spawn(async move { administer(to, &["key", "issue", "red", &name]).await })
    });
    let edits: Vec<_> = edits.collect();
    let mut outcomes = Vec::new();
    for edit in edits {
        outcomes.push(edit.await.unwrap());
    }
    let is_expected = |edit: &Run| [0, 1, 3].contains(&edit.code);
    assert!(outcomes.iter().all(is_expected), "{outcomes:#?}");
    let accepted = outcomes.iter().filter(|edit| edit.code == 0).count();
    assert!(accepted >= 2, "{accepted} of 5 accepted: {outcomes:#?}");
    let current = bed.nodes()[0].shared().control.current().unwrap();
    let keys = &current.document().unwrap().workspaces[0].keys;
    let raced = keys.iter().filter(|k| k.name.starts_with("race-")).count();
    assert_eq!(raced, accepted);
}

/// Guards against `--wait` that reports a version in force where it is not.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn wait_names_the_instance_that_lags() {
    let (bed, to) = start(3, "wait").await;
    let lost = bed.nodes()[2].clone();
    lost.shared().hub.stop();
    let name = lost.shared().member.name.clone();
    let late = administer(to, &["data-centre", "out", "west", "--wait"]).await;
    assert_eq!(late.code, 5, "{late:?}");
    assert!(late.err.contains(&*name), "{late:?}");
    assert!(!late.err.contains("entry-1"), "{late:?}");
}

/// Guards against operator keys, workspace keys and secrets in the log of an instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_secret_is_logged() {
    let store = Store::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let platform = listener.local_addr().unwrap();
    tokio::spawn(standin::platform::serve(listener, store.client("all")));
    let settings = File::new(
        "settings",
        &json!({
            "name": "entry", "data-centre": "east", "log": "trace",
            "listen": {
                "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"
            },
            "platform": {"table": [platform], "objects": [platform], "listing": [platform]},
            "operators": [
                {"name": "a", "digest": Digest::of(b"administer-key"), "role": "administer"}
            ],
        }),
    );
    let mut child = Command::new(PROGRAM)
        .args(["serve", "--settings", settings.path()])
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let stderr = child.stderr.take().unwrap();
    let log = tokio::spawn(async move {
        let mut text = String::new();
        let mut stderr = stderr;
        tokio::io::AsyncReadExt::read_to_string(&mut stderr, &mut text)
            .await
            .unwrap();
        text
    });
    let end = tokio::time::Instant::now() + WAIT;
    let member: Member = loop {
        let row = store.row(&Member::key("entry"));
        match row.and_then(|row| serde_json::from_str(&row.value).ok()) {
            Some(member) => break member,
            None => assert!(tokio::time::Instant::now() < end, "did not join"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let to = member.operators;
    let file = File::new("logged", &fleet());
    assert_eq!(administer(to, &["apply", file.path()]).await.code, 0);
    let issued = administer(to, &["key", "issue", "red", "second"]).await;
    let secret = issued
        .out
        .lines()
        .find_map(|l| l.strip_prefix("secret: "))
        .unwrap()
        .to_owned();
    assert_eq!(run(to, "wrong-operator-key", &["status"]).await.code, 1);
    call(member.callers, &secret).await;
    call(member.callers, "wrong-workspace-key").await;
    child.kill().await.unwrap();
    let log = log.await.unwrap();
    assert!(log.contains("event=operator-action"), "{log}");
    for hidden in [
        &*secret,
        "administer-key",
        "wrong-operator-key",
        "wrong-workspace-key",
    ] {
        assert!(!log.contains(hidden), "{hidden} is in the log");
    }
}
