//! The console, the description of the routes and the operators' page.

use coriandernotch::front::operators::Route;
use serde_json::json;
use strum::IntoEnumIterator;

use super::bed::{ask, ask_with, start};

/// Guards against a description that lacks a route, or states a method or role that is not so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_description_lists_exactly_the_routes() {
    let bed = start(1).await;
    let node = &bed.nodes()[0];
    let description = ask_with(node, "GET", "/v1/openapi.json", &[], b"")
        .await
        .json();
    let mut described = Vec::new();
    for (path, methods) in description["paths"].as_object().unwrap() {
        for (method, operation) in methods.as_object().unwrap() {
            let role = operation["x-role"].as_str().unwrap_or("none").to_owned();
            assert_eq!(
                operation.get("security").is_some(),
                role != "none",
                "{path}"
            );
            let has_version = path.contains("{version}");
            let parameters = operation["parameters"].to_string();
            assert_eq!(parameters.contains("/Version"), has_version, "{path}");
            described.push((path.clone(), method.to_uppercase(), role));
        }
    }
    let role = |r: Route| r.role().map_or("none".to_owned(), |role| role.to_string());
    let row = |r: Route| (r.path().to_owned(), r.method().to_owned(), role(r));
    let mut routes: Vec<_> = Route::iter().map(row).collect();
    described.sort();
    routes.sort();
    assert_eq!(described, routes);
}

/// Guards against a console that the policy would break, that keeps a key, or that could run what
/// a document says.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_console_obeys_its_policy_and_keeps_no_key() {
    let bed = start(1).await;
    let node = &bed.nodes()[0];
    let mut files = Vec::new();
    for path in ["/console", "/console/console.js", "/console/console.css"] {
        let answer = ask_with(node, "GET", path, &[], b"").await;
        assert_eq!(answer.status, 200, "{path}");
        let policy = &answer.reply.headers["content-security-policy"];
        assert!(
            policy.to_str().unwrap().contains("script-src 'self'"),
            "{path}"
        );
        files.push(answer.text);
    }
    let [page, script, style] = &files[..] else {
        panic!("three files");
    };
    for forbidden in [
        "http:",
        "https:",
        "<style",
        "style=",
        "onclick=",
        "<script>",
        "javascript:",
    ] {
        assert!(!page.contains(forbidden), "{forbidden} in the page");
    }
    let stores = [
        "localStorage",
        "sessionStorage",
        "cookie =",
        "indexedDB",
        "location",
    ];
    let runs = [
        "innerHTML",
        "outerHTML",
        "insertAdjacentHTML",
        "eval(",
        "new Function",
        "document.write",
    ];
    for forbidden in stores.iter().chain(&runs) {
        assert!(!script.contains(forbidden), "{forbidden} in the script");
    }
    assert!(
        !style.contains("url(") && !style.contains("@import"),
        "external style"
    );
    // Every element that the script looks up by a fixed name exists in the page.
    for part in script.split("byId(\"").skip(1) {
        let id = part.split('"').next().unwrap();
        assert!(
            page.contains(&format!("id=\"{id}\"")),
            "{id} is not in the page"
        );
    }
    // Every route that the script calls exists.
    for part in script.split("\"/v1/").skip(1) {
        let path = part.split(['"', '?']).next().unwrap();
        let known = Route::iter().any(|r| r.path() == format!("/v1/{path}"));
        assert!(known, "/v1/{path}");
    }
    let plain = ask(node, "GET", "/v1/fleet?plain=true", "view-key", "").await;
    assert_eq!(plain.json()["longest-run-ms"], 3000);
    assert_eq!(plain.json()["plans"][0]["paused"], false);
}

/// Guards against forms of the console that lack a field of the document, or have one too many.
#[test]
fn the_console_has_a_form_for_every_field() {
    let script = include_str!("../../src/front/operators/console/console.js");
    let start = script.find("const KINDS").unwrap();
    let end = script[start..].find("function el").unwrap();
    let forms = &script[start..start + end];
    let has =
        |name: &str| forms.contains(&format!("\"{name}\":")) || forms.contains(&format!("{name}:"));
    let filled = json!({
        "data-centres": ["name", "region", "state"],
        "workspaces": ["name", "share", "limit", "keys"],
        "pools": ["name", "size", "spare", "budget", "instances"],
        "services": ["name", "pool", "workspaces", "slots", "connections", "timeout-ms", "body-limit",
            "queue-limit"],
        "queues": ["name", "pool", "workspaces"],
        "plans": ["name", "pool", "period-days", "window-start-hour", "window-hours", "paused"],
    });
    for (kind, fields) in filled.as_object().unwrap() {
        assert!(has(kind), "{kind}");
        let shape = coriandernotch::fleet::shape().field(kind).unwrap();
        let coriandernotch::document::Type::List(of, ..) = shape.accepts else {
            panic!("{kind} is no list");
        };
        let coriandernotch::document::Type::Object(shape) = of else {
            panic!("{kind} is no list of objects");
        };
        let names: Vec<&str> = shape.fields.iter().map(|f| f.name).collect();
        let listed: Vec<&str> = fields
            .as_array()
            .unwrap()
            .iter()
            .map(|f| f.as_str().unwrap())
            .collect();
        assert_eq!(names, listed, "fields of {kind}");
        for name in names.iter().filter(|name| **name != "budget") {
            assert!(has(name), "{kind}: {name}");
        }
    }
    assert!(has("budget.unavailable") && has("budget.rack") && has("digest"));
}

/// Guards against an operator's page that leaves out a refusal, an event, a gauge or an exit code.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_operators_page_explains_what_the_program_says() {
    let page = include_str!("../../docs/operator.md");
    let refusals = coriandernotch::admit::Refusal::iter().map(|r| r.to_string());
    let events = coriandernotch::event::EventKind::iter().map(|k| <&str>::from(k).to_owned());
    for name in refusals.chain(events) {
        assert!(page.contains(&format!("| `{name}` |")), "{name}");
    }
    for code in 0..=5 {
        assert!(page.contains(&format!("\n| {code} | ")), "exit code {code}");
    }
    let bed = start(1).await;
    let scraped = ask_with(&bed.nodes()[0], "GET", "/metrics", &[], b"")
        .await
        .text;
    for line in page
        .lines()
        .filter(|line| line.contains("config_") || line.contains("_ready"))
    {
        for name in line.split('`').skip(1).step_by(2) {
            let name = name.split([' ', '{']).next().unwrap();
            assert!(scraped.contains(name), "{name} in {line}");
        }
    }
}
