//! Commands and their exit codes.

use std::net::SocketAddr;

use coriandernotch::fleet::Digest;
use serde_json::json;

use super::bed::{File, administer, assert_answer, fleet, run, start};

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
