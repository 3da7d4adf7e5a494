//! Events and status.

use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::event::{Event, Figures, Refusal, Ring, rule};
use coriandernotch::standin::target::Mode;
use serde_json::{Value, json};
use strum::IntoEnumIterator;

use super::bed::{ADMINISTER, ask, call, events, fleet, put, start, version};

/// Guards against a refusal, an ejection or a change that operators cannot explain afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_explain_refusals_ejections_and_changes() {
    let bed = start(2).await;
    let nodes = bed.nodes();
    let node = &nodes[0];
    let mut out = fleet();
    out["data-centres"][0]["state"] = "out".into();
    out["data-centres"][1]["state"] = "out".into();
    let base = version(node);
    assert_eq!(put(node, ADMINISTER, base, &out).await.status, 200);
    for _ in 0..5 {
        assert_eq!(call(node, "red-key").await.status, 503);
        assert_eq!(call(node, "a-wrong-key").await.status, 401);
    }
    assert_eq!(put(node, ADMINISTER, base + 1, &fleet()).await.status, 200);
    bed.targets.values().for_each(|t| t.set_mode(Mode::Fail));
    for _ in 0..40 {
        call(node, "red-key").await;
    }
    let all = events(node).await;
    let find = |kind: &str, reason: &str| {
        let found = all
            .iter()
            .find(|e| e["kind"] == kind && (reason.is_empty() || e["reason"] == reason));
        found.unwrap_or_else(|| panic!("no {kind} {reason} in {all:#?}"))
    };
    let out = find("refused", "no-target");
    assert_eq!(
        (&out["count"], &out["workspace"]),
        (&json!(5), &json!("red"))
    );
    assert_eq!(
        (&out["figures"]["slots"], &out["service"]),
        (&json!(0), &json!("one"))
    );
    assert_eq!(out["figures"]["limit"], 6);
    assert_eq!(find("ejected", "")["verdict"], "failed");
    assert_eq!(find("refused", "unknown or withdrawn key")["count"], 5);
    assert!(find("in-force", "")["version"].as_u64() >= Some(1));
    assert!(
        find("commit", "")["outcome"]
            .as_str()
            .unwrap()
            .starts_with("accepted")
    );
    assert!(!find("voters", "")["added"].as_array().unwrap().is_empty());
    let text = serde_json::to_string(&all).unwrap();
    assert!(!text.contains("-key\""), "{text}");
    let shared = nodes[1].shared().clone();
    bed.stop_node(&nodes[1]).await;
    let last = shared.events().list(coriandernotch::clock::now());
    assert!(
        last.iter()
            .any(|e| matches!(e.event, Event::Shutdown { .. }))
    );
}

/// Guards against status that leaves out what an operator acts on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_shows_workspaces_data_centres_and_lagging_instances() {
    let bed = start(2).await;
    let node = &bed.nodes()[0];
    let mut document = fleet();
    document["data-centres"][1]["state"] = "out".into();
    let applied = put(node, ADMINISTER, version(node), &document).await.json();
    let mut status = Value::Null;
    for _ in 0..100 {
        status = ask(node, "GET", "/v1/status", "view-key", "").await.json();
        if status["lagging"] == json!([]) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(status["lagging"], json!([]), "{status}");
    let versions: Vec<&Value> = status["instances"]
        .as_array()
        .unwrap()
        .iter()
        .map(|i| &i["version"])
        .collect();
    assert_eq!(
        versions,
        [&applied["version"], &applied["version"]],
        "{status}"
    );
    let east = json!({"name": "east", "region": "r", "state": "in", "live": 1, "ejected": 0, "leaving": 0});
    assert_eq!(status["data-centres"][0], east);
    assert_eq!(status["data-centres"][1]["state"], "out");
    let workspace = &status["workspaces"][0];
    for field in ["share", "limit", "running", "running-fleet", "waiting"] {
        assert!(workspace[field].is_u64(), "{field} in {workspace}");
    }
    // An instance that no longer answers lags until it is removed from the voters.
    let lost = bed.nodes()[1].shared().member.name.clone();
    bed.nodes()[1].shared().hub.stop();
    let mut named = false;
    for _ in 0..100 {
        let status = ask(node, "GET", "/v1/status", "view-key", "").await.json();
        named = status["lagging"] == json!([&*lost]);
        if named {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(named, "{lost} is not named as lagging");
}

/// Guards against memory that grows with refusals, and against refusals pushing out other events.
#[test]
fn events_are_bounded_counted_and_forgotten() {
    let at = |seconds| Instant::from_start(Duration::from_secs(seconds));
    let refused = |reason| Event::Refused {
        reason,
        rule: rule(reason),
        workspace: None,
        service: None,
        figures: Figures::default().into(),
    };
    let key = |workspace: u32| Refusal {
        reason: "stale",
        workspace: Some(coriandernotch::fleet::WorkspaceId(workspace)),
        service: None,
    };
    let mut ring = Ring::new(3, 4);
    ring.add(at(0), Event::VoteLost);
    for round in 0..1000 {
        ring.refuse(at(0), key(round % 10), refused("stale"));
    }
    let list = ring.list(at(0));
    assert_eq!(list.len(), 5, "one event and four refusals");
    assert!(list.iter().any(|e| e.event == Event::VoteLost));
    let mut ring = Ring::new(3, 4);
    for second in [0, 30, 59, 60, 90] {
        ring.refuse(at(second), key(1), refused("stale"));
    }
    let counts: Vec<u64> = ring.list(at(90)).iter().map(|e| e.count).collect();
    assert_eq!(counts, [2, 3], "a new event each minute");
    assert_eq!(ring.list(at(60 + 3600)).len(), 1);
    assert!(ring.list(at(91 + 3600)).is_empty());
}

/// Guards against a reason of a refusal that no rule explains.
#[test]
fn every_refusal_has_a_rule() {
    for refusal in coriandernotch::admit::Refusal::iter() {
        let reason: &'static str = refusal.into();
        assert_ne!(rule(reason), rule("?"), "{reason}");
    }
}
