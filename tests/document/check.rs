//! The command `check`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use coriandernotch::cli;
use coriandernotch::document::MAX_BYTES;

use super::text::{RENNES, SETTINGS};

/// Creates a folder of one test that runs of the test in other processes do not use.
fn create_folder(test: &str) -> PathBuf {
    let name = format!("{test}-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Guards against wrong exit codes of `check` and against problems that are not written.
#[test]
fn check_exits_as_documented() {
    let folder = create_folder("check-exits");
    let long = vec![b' '; MAX_BYTES + 1];
    let cases: &[(&str, &[u8], u8, usize)] = &[
        ("settings.jsonc", SETTINGS.as_bytes(), 0, 0),
        ("fleet.jsonc", RENNES.as_bytes(), 0, 0),
        (
            "faults.jsonc",
            br#"{"workspaces": [{}], "plans": 5, "plans": 6}"#,
            2,
            9,
        ),
        ("syntax.jsonc", b"{\"workspaces\": [", 2, 1),
        ("empty.jsonc", b"", 2, 1),
        ("other.jsonc", b"{}", 2, 1),
        ("binary.jsonc", b"{\xff\xfe}", 2, 1),
        ("long.jsonc", &long, 2, 1),
    ];
    for (name, content, code, lines) in cases {
        let path = folder.join(name);
        std::fs::write(&path, content).unwrap();
        let mut out = Vec::new();
        let exit = cli::check_to(&path, &mut out);
        let out = String::from_utf8(out).unwrap();
        assert_eq!(exit, ExitCode::from(*code), "{name}: {out}");
        assert_eq!(out.lines().count(), *lines, "{name}: {out}");
        assert!(out.lines().all(|l| l.starts_with(&*path.to_string_lossy())));
    }
    let mut out = Vec::new();
    assert_eq!(cli::check_to(&folder, &mut out), ExitCode::from(1));
    assert_eq!(
        cli::check_to(&folder.join("none"), &mut out),
        ExitCode::from(1)
    );
    assert_eq!(String::from_utf8(out).unwrap().lines().count(), 2);
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against a file of neither kind whose unknown fields are not named.
#[test]
fn check_names_unknown_fields_of_a_file_of_no_kind() {
    let cases: &[(&str, &[&str])] = &[
        ("{}", &[]),
        (r#"{"name": "x"}"#, &[]),
        (r#"{"log": "info", "workspaces": []}"#, &[]),
        (
            r#"{"unknown_field": 1}"#,
            &[r#":1:2: unknown_field: value "unknown_field": accepted one of the fields name, "#],
        ),
        (
            r#"{"name": "x", "polls": [], "log": "info", "workspaces": [], "colour": 2}"#,
            &[
                r#":1:15: polls: value "polls": accepted "pools" (closest) or another"#,
                r#":1:61: colour: value "colour": accepted one of the fields name, "#,
            ],
        ),
    ];
    let folder = create_folder("check-no-kind");
    let path = folder.join("no-kind.jsonc");
    for (text, expected) in cases {
        std::fs::write(&path, text).unwrap();
        let mut out = Vec::new();
        assert_eq!(cli::check_to(&path, &mut out), ExitCode::from(2), "{text}");
        let out = String::from_utf8(out).unwrap();
        let mut lines = out.lines();
        let first = lines.next().unwrap();
        assert!(first.contains(":1:1: document: "), "{text}: {out}");
        assert_eq!(lines.clone().count(), expected.len(), "{text}: {out}");
        for (line, part) in lines.zip(*expected) {
            assert!(line.contains(part), "{text}: {out}");
        }
    }
    std::fs::remove_dir_all(folder).unwrap();
}
