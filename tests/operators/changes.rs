//! Changes of the document: conflicts, faults of the store, bad input, history and check.

use coriandernotch::fleet::Digest;
use coriandernotch::standin::{Fault, Kind};
use serde_json::json;

use super::bed::{ADMINISTER, WAIT, ask, ask_with, call, fleet, put, start, version};

/// Guards against a racing operator overwriting, or not being told, what came first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_conflict_shows_what_changed_and_writes_nothing() {
    let bed = start(2).await;
    let nodes = bed.nodes();
    let base = version(&nodes[0]);
    let mut first = fleet();
    first["workspaces"][0]["limit"] = 9.into();
    assert_eq!(put(&nodes[0], ADMINISTER, base, &first).await.status, 200);
    let mut second = fleet();
    second["workspaces"][0]["share"] = 5.into();
    for (key, node) in [
        (ADMINISTER, &nodes[0]),
        (ADMINISTER, &nodes[1]),
        ("operate-key", &nodes[0]),
    ] {
        let answer = put(node, key, base, &second).await;
        assert_eq!(answer.status, 412, "{}", answer.text);
        let body = answer.json();
        assert_eq!(
            (&body["version"], &body["author"]),
            (&json!(base + 1), &json!("demo"))
        );
        let changed = &body["changed"][0];
        assert_eq!(changed["field"], "workspaces[red].limit", "{body}");
        assert_eq!(
            (&changed["before"], &changed["after"]),
            (&json!(6), &json!(9))
        );
        assert_eq!(body["differences"].as_array().unwrap().len(), 2, "{body}");
        assert_eq!(answer.reply.headers["etag"], format!("\"{}\"", base + 1));
    }
    assert_eq!(version(&nodes[0]), base + 1);
}

/// Guards against a wrong answer, or an action without an audit row, when the store fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_stay_true_while_the_store_fails() {
    use Fault::{Drop, Lose, Pass, Refuse};
    let bed = start(1).await;
    let node = &bed.nodes()[0];
    // The first write is the audit row, the second one the change.
    let cases: [(&str, &[Fault], &[Fault], u16); 6] = [
        ("audit row lost", &[Lose], &[], 200),
        ("change lost", &[Pass, Lose], &[], 200),
        ("change dropped", &[Pass, Drop, Drop], &[], 200),
        (
            "change refused",
            &[Pass, Refuse, Refuse, Refuse, Refuse],
            &[],
            503,
        ),
        ("audit row refused", &[Refuse, Refuse, Refuse], &[], 503),
        ("change lost, no reads", &[Pass, Lose], &[Refuse; 60], 504),
    ];
    for (limit, (name, writes, reads, expected)) in (20..).zip(cases) {
        let before = version(node);
        let mut document = fleet();
        document["workspaces"][0]["limit"] = limit.into();
        // The manager of pools reads and writes rows of its own meanwhile.
        bed.store.faults().aim(&["audit/", "fleet/"]);
        bed.store
            .faults()
            .inject(Kind::Write, writes.iter().copied());
        bed.store.faults().inject(Kind::Read, reads.iter().copied());
        let answer = put(node, ADMINISTER, before, &document).await;
        assert_eq!(answer.status, expected, "{name}: {}", answer.text);
        bed.store.faults().clear();
        let changed = expected != 503;
        let settled = bed
            .wait(WAIT, |_| (version(node) == before + 1) == changed)
            .await;
        assert!(settled, "{name}: version {}", version(node));
        let body = answer.json();
        let accepted = match expected {
            200 => json!(null),
            503 => json!(false),
            _ => json!("unknown"),
        };
        assert_eq!(body["accepted"], accepted, "{name}");
        let audits = bed.store.rows("audit/");
        if let Some(operation) = body["operation"].as_str() {
            let row = audits.iter().find(|r| r.key.ends_with(operation));
            let row = row.unwrap_or_else(|| panic!("{name}: no audit row"));
            let outcome = if expected == 200 {
                "accepted"
            } else {
                "unknown"
            };
            assert!(row.value.contains(outcome), "{name}: {}", row.value);
            assert!(
                bed.store
                    .rows("fleet/history/")
                    .iter()
                    .any(|r| r.value.contains(operation))
            );
        }
    }
    bed.store.faults().set_outage(true);
    for (method, path, expected) in [
        ("GET", "/v1/fleet", 200),
        ("GET", "/v1/status", 200),
        ("GET", "/v1/events", 200),
        ("GET", "/v1/fleet/history", 503),
        ("GET", "/v1/fleet/history/1", 503),
        ("POST", "/v1/fleet/history/1/apply", 503),
        ("POST", "/v1/fleet/check", 200),
        ("PUT", "/v1/fleet", 503),
    ] {
        let answer = ask(node, method, path, ADMINISTER, &fleet().to_string()).await;
        assert_eq!(answer.status, expected, "{method} {path}: {}", answer.text);
    }
}

/// Guards against input that is answered with 500, read without bound or repeated when secret.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_is_refused_with_the_reason() {
    let bed = start(1).await;
    let node = &bed.nodes()[0];
    let large = vec![b' '; (4 << 20) + 1];
    let secret = fleet()
        .to_string()
        .replace(&Digest::of(b"red-key").to_string(), "red-key");
    let cases: [(&str, &str, &[u8], u16); 13] = [
        ("PUT", "/v1/fleet", b"", 422),
        ("PUT", "/v1/fleet", b"{", 422),
        ("PUT", "/v1/fleet", b"\xff", 413),
        ("PUT", "/v1/fleet", &large, 413),
        ("PUT", "/v1/fleet", secret.as_bytes(), 422),
        ("POST", "/v1/fleet/check", &large, 413),
        ("POST", "/v1/fleet/check", secret.as_bytes(), 200),
        ("GET", "/v1/fleet/history?before=x", b"", 400),
        ("GET", "/v1/fleet/history?limit=-1", b"", 400),
        ("GET", "/v1/fleet/history/x", b"", 400),
        ("GET", "/v1/fleet/history/999", b"", 404),
        ("POST", "/v1/fleet/history/999/apply", b"", 404),
        ("PUT", "/v1/log-level", b"everything that happens", 400),
    ];
    let before = version(node);
    for (method, path, body, expected) in cases {
        let headers = [("authorization", "Bearer administer-key")];
        let answer = ask_with(node, method, path, &headers, body).await;
        assert_eq!(answer.status, expected, "{method} {path}: {}", answer.text);
        assert!(!answer.text.contains("red-key"), "{}", answer.text);
    }
    let headers = [
        ("authorization", "Bearer administer-key"),
        ("if-match", "\"x\""),
    ];
    let body = fleet().to_string();
    let answer = ask_with(node, "PUT", "/v1/fleet", &headers, body.as_bytes()).await;
    assert_eq!(answer.status, 400, "{}", answer.text);
    assert_eq!(version(node), before);
    let check = ask(node, "POST", "/v1/fleet/check", "view-key", &secret).await;
    let problem = &check.json()["problems"][0];
    assert_eq!(check.json()["valid"], false);
    assert_eq!(
        problem["field"], "workspaces[0].keys[0].digest",
        "{problem}"
    );
}

/// Guards against a history that skips, repeats or misdates versions, and against a re-apply that
/// brings back anything but the old document.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn history_pages_through_all_versions_and_reapplies_one() {
    let bed = start(2).await;
    let node = &bed.nodes()[0];
    let start = version(node);
    for limit in 10..14 {
        let mut document = fleet();
        document["workspaces"][0]["limit"] = limit.into();
        assert_eq!(
            put(node, ADMINISTER, version(node), &document).await.status,
            200
        );
    }
    let mut seen = Vec::new();
    let mut before = u64::MAX;
    loop {
        let path = format!("/v1/fleet/history?limit=2&before={before}");
        let page = ask(node, "GET", &path, "view-key", "").await.json();
        let versions = page["versions"].as_array().unwrap();
        assert!(versions.len() <= 2);
        seen.extend(versions.iter().cloned());
        match page["next"].as_u64() {
            Some(next) => before = next,
            None => break,
        }
    }
    let numbers: Vec<u64> = seen
        .iter()
        .map(|v| v["version"].as_u64().unwrap())
        .collect();
    assert_eq!(numbers, (1..=start + 4).rev().collect::<Vec<_>>());
    let newest = &seen[0]["differences"];
    assert_eq!(
        *newest,
        json!([{"field": "workspaces[red].limit", "before": 12, "after": 13}])
    );
    assert!(
        seen.iter().all(|v| v["differences"].is_array()),
        "{seen:#?}"
    );
    // The clock of the test is after 2020 in milliseconds, and before that in seconds.
    assert!(
        seen[0]["time"].as_u64() > Some(1_577_836_800_000),
        "{}",
        seen[0]
    );

    let old = format!("/v1/fleet/history/{}", start + 1);
    let document = ask(node, "GET", &old, "view-key", "").await;
    assert_eq!(document.json()["workspaces"][0]["limit"], 10);
    let path = format!("{old}/apply");
    let refused = ask(node, "POST", &path, "operate-key", "").await;
    assert_eq!(refused.status, 403, "{}", refused.text);
    let headers = [
        ("authorization", "Bearer administer-key"),
        ("if-match", "\"1\""),
    ];
    assert_eq!(
        ask_with(node, "POST", &path, &headers, b"").await.status,
        412
    );
    let applied = ask(node, "POST", &path, ADMINISTER, "").await;
    assert_eq!(applied.json()["version"], start + 5, "{}", applied.text);
    let current = ask(node, "GET", "/v1/fleet", "view-key", "").await;
    assert_eq!(current.text, document.text);
}

/// Guards against a check that applies, or hides what the change would do.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn check_shows_effects_and_changes_nothing() {
    let bed = start(1).await;
    let node = &bed.nodes()[0];
    let before = version(node);
    let mut document = fleet();
    document["data-centres"][1]["state"] = "out".into();
    document["workspaces"][0]["keys"][0]["withdrawn"] = true.into();
    document["workspaces"][0]["limit"] = 2.into();
    let check = ask(
        node,
        "POST",
        "/v1/fleet/check",
        "view-key",
        &document.to_string(),
    )
    .await;
    let check = check.json();
    let kinds: Vec<&str> = check["effects"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| e["kind"].as_str().unwrap())
        .collect();
    assert_eq!(kinds, ["data-centre-out", "key-stops", "limit"], "{check}");
    assert_eq!(check["differences"].as_array().unwrap().len(), 3);
    assert_eq!(
        (&check["valid"], &check["version"]),
        (&json!(true), &json!(before))
    );
    assert_eq!(version(node), before);
    assert_eq!(call(node, "red-key").await.status, 200);
}
