//! Which role may use which route, and for what.

use coriandernotch::front::operators::Route;
use coriandernotch::settings::Role;
use serde_json::json;
use strum::IntoEnumIterator;

use super::bed::{ADMINISTER, Edit, Headers, ask, ask_with, fleet, path, put, start, version};

/// Guards against a route that a lower role, a cookie, a page of another site or nobody may use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_route_takes_its_role_and_no_lower_one() {
    let bed = start(1).await;
    let node = &bed.nodes()[0];
    for route in Route::iter() {
        let (method, path) = (route.method(), path(route));
        let own = node.shared().member.operators.to_string();
        let foreign = [
            ("authorization", "Bearer administer-key"),
            ("origin", "http://evil.test"),
        ];
        let cross = [
            ("authorization", "Bearer administer-key"),
            ("sec-fetch-site", "cross-site"),
        ];
        let same = format!("http://{own}");
        let same = [
            ("authorization", "Bearer administer-key"),
            ("origin", &*same),
        ];
        let attempts: [(&str, Headers<'_>, Option<Role>); 9] = [
            ("nobody", &[], None),
            (
                "cookie",
                &[("cookie", "authorization=Bearer administer-key")],
                None,
            ),
            ("basic", &[("authorization", "Basic administer-key")], None),
            ("wrong key", &[("authorization", "Bearer wrong")], None),
            (
                "view",
                &[("authorization", "Bearer view-key")],
                Some(Role::View),
            ),
            (
                "operate",
                &[("authorization", "Bearer operate-key")],
                Some(Role::Operate),
            ),
            ("administer", &same, Some(Role::Administer)),
            ("foreign origin", &foreign, Some(Role::View)),
            ("cross-site", &cross, Some(Role::View)),
        ];
        for (who, headers, role) in attempts {
            let answer = ask_with(node, method, &path, headers, b"{}").await;
            let foreign = who == "foreign origin" || who == "cross-site";
            let expected = match (route.role(), role) {
                (None, _) => 200,
                (Some(_), None) => 401,
                (Some(_), Some(_)) if foreign => 403,
                (Some(needed), Some(role)) if role < needed => 403,
                (Some(_), Some(_)) => 0,
            };
            match expected {
                0 => assert!(
                    ![401, 403, 404, 405].contains(&answer.status),
                    "{route:?} {who}"
                ),
                expected => assert_eq!(answer.status, expected, "{route:?} {who}"),
            }
            let headers = &answer.reply.headers;
            assert!(
                headers.get("access-control-allow-origin").is_none(),
                "{route:?}"
            );
            assert!(headers.get("set-cookie").is_none(), "{route:?}");
            let policy = headers
                .get("content-security-policy")
                .unwrap()
                .to_str()
                .unwrap();
            assert!(
                policy.starts_with("default-src 'none'"),
                "{route:?} {policy}"
            );
            assert!(!policy.contains("unsafe"), "{route:?} {policy}");
        }
    }
    let preflight = [
        ("origin", "http://evil.test"),
        ("access-control-request-method", "PUT"),
    ];
    let answer = ask_with(node, "OPTIONS", "/v1/fleet", &preflight, b"").await;
    assert!(answer.status >= 400, "{}", answer.status);
}

/// Guards against a role that may take a data centre out replacing other parts of the document.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operate_changes_states_and_pauses_only() {
    let bed = start(1).await;
    let node = &bed.nodes()[0];
    let cases: [(&str, Edit, u16); 7] = [
        (
            "state",
            |d| d["data-centres"][0]["state"] = "out".into(),
            200,
        ),
        ("pause", |d| d["plans"][0]["paused"] = true.into(), 200),
        ("limit", |d| d["workspaces"][0]["limit"] = 7.into(), 403),
        (
            "withdraw",
            |d| d["workspaces"][0]["keys"][0]["withdrawn"] = true.into(),
            403,
        ),
        (
            "new data centre",
            |d| d["data-centres"][1]["name"] = "south".into(),
            403,
        ),
        (
            "state and limit",
            |d| {
                d["data-centres"][0]["state"] = "out".into();
                d["workspaces"][0]["limit"] = 7.into();
            },
            403,
        ),
        ("plan gone", |d| d["plans"] = json!([]), 403),
    ];
    for (name, edit, expected) in cases {
        let mut document = fleet();
        edit(&mut document);
        let before = version(node);
        let answer = put(node, "operate-key", before, &document).await;
        assert_eq!(answer.status, expected, "{name}: {}", answer.text);
        let check = ask(
            node,
            "POST",
            "/v1/fleet/check",
            "view-key",
            &document.to_string(),
        )
        .await;
        if expected == 200 {
            assert_eq!(version(node), before + 1, "{name}");
            let reset = put(node, ADMINISTER, before + 1, &fleet()).await;
            assert_eq!(reset.status, 200, "{name}");
        } else {
            assert_eq!(version(node), before, "{name}");
            assert_eq!(check.json()["role"], "administer", "{name}");
        }
        let rows = bed.store.rows("audit/");
        let refused = |r: &coriandernotch::platform::Row| r.value.contains("shift");
        assert!(rows.iter().any(refused), "{name}");
    }
}
