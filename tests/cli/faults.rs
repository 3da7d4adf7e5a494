//! Lost answers, races and secrets in logs.

use std::process::Stdio;
use std::time::Duration;

use coriandernotch::demo::Bed;
use coriandernotch::fleet::Digest;
use coriandernotch::peer::Member;
use coriandernotch::standin::{self, Fault, Kind, Store};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::process::Command;

use super::bed::{File, PROGRAM, Run, WAIT, administer, call, fleet, run, start};

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
