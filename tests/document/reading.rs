//! Reading, the kind of a file and differences.

use coriandernotch::document::{self, Kind, MAX_BYTES};
use coriandernotch::{fleet, settings};

use super::text::{HUALLAGA, RENNES, SETTINGS, small};

/// Guards against stack overflow and against reading a text beyond the bound.
#[test]
fn long_and_deep_texts_are_refused() {
    for (open, close) in [("[", "]"), (r#"{"a":"#, "}")] {
        for depth in [33, 500, 600, 100_000] {
            let text = format!("{}1{}", open.repeat(depth), close.repeat(depth));
            let problems = document::read("d.jsonc", &text).unwrap_err();
            let [problem] = &problems[..] else {
                panic!("{} problems", problems.len());
            };
            assert!(problem.accepted.contains("nesting"), "{problem}");
            assert!(document::read("d.jsonc", &open.repeat(depth)).is_err());
        }
        let text = format!("{}1{}", open.repeat(32), close.repeat(32));
        assert!(document::read("d.jsonc", &text).is_ok());
    }
    let padded = |bytes: usize| format!("{}{}", small(), " ".repeat(bytes - small().len()));
    assert!(fleet::parse("f.jsonc", &padded(MAX_BYTES)).is_ok());
    let problems = fleet::parse("f.jsonc", &padded(MAX_BYTES + 1)).unwrap_err();
    assert_eq!(problems[0].accepted, "at most 4194304 bytes");
}

/// Guards against examples that the program itself refuses or that lose their shape.
#[test]
fn examples_are_valid() {
    settings::parse("settings.jsonc", SETTINGS).unwrap();
    for (name, text) in [("huallaga.jsonc", HUALLAGA), ("rennes.jsonc", RENNES)] {
        let document = fleet::parse(name, text).unwrap_or_else(|p| panic!("{}", p[0]));
        assert_eq!(
            (document.data_centres.len(), document.services.len()),
            (3, 5)
        );
        for service in &document.services {
            let pool = document
                .pools
                .iter()
                .find(|p| p.name == service.pool)
                .unwrap();
            assert!((8..=12).contains(&pool.instances.len()), "{}", pool.name);
            assert_eq!((service.slots, service.connections), (8, 64));
        }
        assert!(document.services.iter().any(|s| s.workspaces.is_empty()));
        assert_eq!(document.workspaces.len(), 6);
        assert!(document.queues.len() > 1 && !document.plans.is_empty());
    }
}

/// Guards against a stored document that cannot be read again.
#[test]
fn a_written_document_reads_back() {
    for text in [HUALLAGA, RENNES, &small()] {
        let document = fleet::parse("f.jsonc", text).unwrap();
        let written = serde_json::to_string(&document).unwrap();
        assert_eq!(fleet::parse("f.jsonc", &written).unwrap(), document);
    }
    let values = settings::parse("s.jsonc", SETTINGS).unwrap();
    let written = serde_json::to_string(&values).unwrap();
    assert_eq!(settings::parse("s.jsonc", &written).unwrap(), values);
}

/// Guards against a wrong guess of what a file holds.
#[test]
fn the_kind_of_a_file_is_told_by_its_fields() {
    let kind = |text: &str| document::kind(&document::read("f", text).unwrap());
    assert_eq!(kind(SETTINGS), Some(Kind::Settings));
    assert_eq!(kind(HUALLAGA), Some(Kind::Fleet));
    for text in [
        "{}",
        "[]",
        r#"{"name": "x"}"#,
        r#"{"log": 1, "workspaces": 1}"#,
    ] {
        assert_eq!(kind(text), None, "{text}");
    }
}

/// Guards against a difference that is missed, or named by an index that moves.
#[test]
fn differences_are_named() {
    let before = fleet::parse("f.jsonc", &small()).unwrap();
    let changed = small()
        .replace(r#""limit": 6"#, r#""limit": 7"#)
        .replace(r#"["red"]"#, r#"["blue"]"#)
        .replace(r#""name": "mail""#, r#""name": "post""#)
        .replace(r#""size": 3, "#, r#""size": 2, "#);
    let after = fleet::parse("f.jsonc", &changed).unwrap();
    let lines = |a, b| -> Vec<String> { fleet::diff(a, b).iter().map(|d| d.to_string()).collect() };
    let queue = |name| format!(r#"{{"name":"{name}","pool":"web","workspaces":["blue"]}}"#);
    let expected = [
        "pools[web].size: 3 -> 2".to_owned(),
        format!("queues[mail]: removed {}", queue("mail")),
        format!("queues[post]: added {}", queue("post")),
        r#"services[shop].workspaces[blue]: added "blue""#.to_owned(),
        r#"services[shop].workspaces[red]: removed "red""#.to_owned(),
        "workspaces[blue].limit: 6 -> 7".to_owned(),
    ];
    assert_eq!(lines(&before, &after), expected);
    assert_eq!(lines(&after, &before).len(), expected.len());
    assert_eq!(lines(&before, &before), [""; 0]);
}
