//! Problems of documents and settings, and where they stand.

use coriandernotch::document::Problem;
use coriandernotch::{fleet, settings};

use super::text::{D1, FLEET, SETTINGS, small};

/// What is replaced, by what, then place and a part of `value|accepted` of each problem.
type Case = (
    &'static str,
    &'static str,
    &'static [(&'static str, &'static str)],
);

#[rustfmt::skip]
const FLEET_CASES: &[Case] = &[
    // Fields.
    (r#""limit": 5"#, r#""limt": 5"#, &[
        ("5:5 workspaces[0].limit", "nothing|an integer from 1 to 1000000 (the field is required)"),
        ("5:33 workspaces[0].limt", r#""limt"|"limit" (closest) or another of the fields name, share"#),
    ]),
    (r#""limit": 5"#, r#""limit": 5, "colour": 1"#, &[
        ("5:45 workspaces[0].colour", r#""colour"|one of the fields name, share, limit, keys"#),
    ]),
    (r#""limit": 5"#, r#""limit": 5, "limit": 6"#, &[
        ("5:45 workspaces[0].limit", r#""limit"|each field once"#),
    ]),
    (r#""name": "small","#, "", &[("1:1 name", "nothing|a name of 1 to 63")]),
    // Types and ranges.
    (r#""limit": 5"#, r#""limit": "5""#, &[
        ("5:42 workspaces[0].limit", r#""5"|an integer from 1 to 1000000"#),
    ]),
    (r#""limit": 5"#, r#""limit": 0"#, &[("5:42 workspaces[0].limit", "0|an integer from 1")]),
    (r#""share": 2"#, r#""share": 0"#, &[("6:31 workspaces[1].share", "0|an integer from 1")]),
    (r#""limit": 5"#, r#""limit": -5"#, &[("5:42 workspaces[0].limit", "-5|an integer")]),
    (r#""limit": 5"#, r#""limit": 5.5"#, &[("5:42 workspaces[0].limit", "5.5|an integer")]),
    (r#""limit": 5"#, r#""limit": 1e3"#, &[("5:42 workspaces[0].limit", "1e3|an integer")]),
    (r#""limit": 5"#, r#""limit": 0x5"#, &[("5:42 workspaces[0].limit", "0x5|a decimal number")]),
    (r#""limit": 5"#, r#""limit": null"#, &[("5:42 workspaces[0].limit", "null|an integer")]),
    (r#""limit": 5"#, r#""limit": 99999999999999999999"#, &[
        ("5:42 workspaces[0].limit", "99999999999999999999|an integer from 1 to 1000000"),
    ]),
    (r#""period-days": 21"#, r#""period-days": 0"#, &[
        ("14:60 plans[0].period-days", "0|an integer from 1 to 366"),
    ]),
    (r#""period-days": 21"#, r#""period-days": 367"#, &[
        ("14:60 plans[0].period-days", "367|an integer from 1 to 366"),
    ]),
    (r#""period-days": 21"#, r#""period-days": 2, "window-hours": 25"#, &[
        ("14:79 plans[0].window-hours", "25|an integer from 1 to 24"),
    ]),
    (r#""spare": true"#, r#""spare": "yes""#, &[
        ("8:12 pools", r#"no pool with "spare": true|exactly one spare pool"#),
        ("10:42 pools[1].spare", r#""yes"|true or false"#),
    ]),
    (r#""region": "r"}"#, r#""region": "r", "state": "up"}"#, &[
        ("3:61 data-centres[0].state", r#""up"|one of in, out"#),
    ]),
    (r#"[{"name": "east", "region": "r"}]"#, "[]", &[
        ("3:19 data-centres", "[0 entries]|a list of 1 to 200 entries"),
    ]),
    (r#"{"unavailable": 1}"#, "1", &[("9:42 pools[0].budget", "1|an object")]),
    // Names.
    (r#""name": "red""#, r#""name": "Red workspace""#, &[
        ("5:14 workspaces[0].name", r#""Red workspace"|a name of 1 to 63 characters of [a-z0-9-]"#),
        ("12:63 services[0].workspaces[0]", r#""red"|the name of a workspace: Red workspace, blue"#),
    ]),
    (r#""name": "mail""#, r#""name": """#, &[("13:23 queues[0].name", r#"""|a name"#)]),
    (r#""name": "mail""#, r#""name": "ñ""#, &[("13:23 queues[0].name", r#""ñ"|a name"#)]),
    (r#""name": "blue""#, r#""name": "red""#, &[
        ("6:14 workspaces[1].name", r#""red"|a value that workspaces[0].name does not have"#),
        ("13:61 queues[0].workspaces[0]", r#""blue"|the name of a workspace: red"#),
    ]),
    (r#"["red"]"#, r#"["red", "red"]"#, &[
        ("12:70 services[0].workspaces[1]", "a value that services[0].workspaces[0] does not have"),
    ]),
    // References.
    (r#""shop", "pool": "web""#, r#""shop", "pool": "wed""#, &[
        ("12:41 services[0].pool", r#""wed"|the name of a pool, "web" being closest: rest, web"#),
    ]),
    (r#""mail", "pool": "web""#, r#""mail", "pool": "x""#, &[
        ("13:39 queues[0].pool", r#""x"|the name of a pool: rest, web"#),
    ]),
    (r#""tidy", "pool": "web""#, r#""tidy", "pool": "x""#, &[
        ("14:38 plans[0].pool", r#""x"|the name of a pool"#),
    ]),
    (r#"["blue"]"#, r#"["green"]"#, &[
        ("13:61 queues[0].workspaces[0]", r#""green"|the name of a workspace: blue, red"#),
    ]),
    // Keys. A pasted secret must not be repeated.
    (r#""D1""#, r#""my-secret""#, &[
        ("5:78 workspaces[0].keys[0].digest", "(text of 9 characters)|a SHA-256 digest"),
    ]),
    (r#""limit": 6"#, r#""limit": 6, "keys": [{"name": "z", "digest": "D1"}]"#, &[
        ("6:79 workspaces[1].keys[0].digest", "a value that workspaces[0].keys[0].digest does not"),
    ]),
    // Budgets.
    (r#"{"unavailable": 1}"#, r#"{"unavailable": 3}"#, &[
        ("9:58 pools[0].budget.unavailable", "3|less than the size of the pool, which is 3"),
    ]),
    (r#"{"unavailable": 1}"#, r#"{"unavailable": 1, "rack": 2}"#, &[
        ("9:58 pools[0].budget.unavailable", "1|at least one rack, which is 2 instances"),
    ]),
    (r#"{"unavailable": 1}"#, r#"{"unavailable": 0}"#, &[
        ("14:38 plans[0].pool", r#""web"|a pool with a budget of at least 1"#),
    ]),
    (r#""size": 3"#, r#""size": 0"#, &[("9:29 pools[0].size", "0|at least 1, or 0 in the")]),
    // Instances.
    (r#"["d"]"#, r#"["a"]"#, &[
        ("10:92 pools[1].instances[0]", r#""a"|a value that pools[0].instances[0] does not"#),
    ]),
    (r#""size": 3"#, r#""size": 4"#, &[
        ("8:12 pools", "sizes that add up to 5|sizes of at most the 4 instances listed"),
    ]),
    (r#""size": 3"#, r#""size": 3, "spare": true"#, &[
        ("10:42 pools[1].spare", "true|true for one pool only"),
    ]),
    (r#""slots": 4"#, r#""slots": 65"#, &[
        ("12:80 services[0].slots", "64 connections for 65 slots|at least as many"),
    ]),
    // Syntax; reading goes on where it can.
    (r#""share": 2, "#, r#""share": 0 "#, &[
        ("6:31 workspaces[1].share", "0|an integer from 1"),
        ("6:33 workspaces[1]", r#""limit"|a comma before it"#),
    ]),
    (r#""share": 2"#, "\u{feff}", &[
        ("6:22 document", r"\u{feff}|JSON with comments"),
    ]),
    (r#""share": 2"#, r#"share: 2"#, &[("6:22 workspaces[1]", "share|text in double quotes")]),
    (r#""red", "share""#, r#"'red', "share""#, &[
        ("5:14 workspaces[0].name", "'...'|text in double quotes"),
    ]),
    (r#""share": 2"#, r#""share": two"#, &[
        ("6:31 document", "two|JSON with comments (Unexpected token)"),
    ]),
];

/// Guards against a fault of the document that passes, or that is reported in the wrong place.
#[test]
fn fleet_problems_have_their_place() {
    let mut wrong = Vec::new();
    for (from, to, expected) in FLEET_CASES {
        assert_eq!(
            FLEET.matches(from).count(),
            1,
            "{from} does not name one place"
        );
        let text = FLEET.replace(from, to).replace("D1", D1);
        let problems = fleet::parse("f.jsonc", &text).err().unwrap_or_default();
        let matches = |p: &Problem, (place, part): &(&str, &str)| {
            format!("{}:{} {}", p.line, p.column, p.field) == *place
                && format!("{}|{}", p.value, p.accepted).contains(part)
        };
        let same = problems.len() == expected.len()
            && problems.iter().zip(*expected).all(|(p, e)| matches(p, e));
        if !same {
            let found: Vec<String> = problems.iter().map(Problem::to_string).collect();
            wrong.push(format!(
                "{from} -> {to}\nfound {found:#?}\nexpected {expected:#?}"
            ));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[rustfmt::skip]
const SETTINGS_CASES: &[(&str, &str, &str, &str)] = &[
    (r#""127.0.0.1:7100""#, r#""localhost:7100""#, "listen.callers", "a numeric IP address"),
    (r#""127.0.0.1:7100""#, r#""127.0.0.1""#, "listen.callers", "a numeric IP address"),
    (r#""127.0.0.1:7200""#, r#""127.0.0.1:7100""#, "listen.operators", "of listen.callers"),
    (r#""127.0.0.1:7300""#, r#""0.0.0.0:7300""#, "listen.peers", "listen.advertised-peers"),
    (r#"["127.0.0.1:7400"]"#, r#"["127.0.0.1:0"]"#, "platform.table[0]", "from 1 to 65535"),
    (r#"["127.0.0.1:7400"]"#, "[]", "platform.table", "1 to 3 entries"),
    (r#"["127.0.0.1:7400"]"#, r#"["127.0.0.1:1", "127.0.0.1:2"]"#, "platform.table", "one address or three"),
    (r#""log": "info""#, r#""log": "loud""#, "log", "one of error, warn"),
    (r#""header-bytes": 32768"#, r#""header-bytes": 8191"#, "bounds.header-bytes", "8192"),
    (r#""idle-ms": 60000"#, r#""idle-ms": 999"#, "bounds.idle-ms", "from 1000"),
    (r#""idle-ms": 60000"#, r#""idel-ms": 60000"#, "bounds.idel-ms", r#""idle-ms" (closest)"#),
    (r#""role": "view""#, r#""role": "root""#, "operators[0].role", "one of view, operate"),
    (r#""on-call""#, r#""dashboard""#, "operators[1].name", "operators[0].name does not"),
    (r#""huanuco""#, r#""Huánuco""#, "data-centre", "a name of 1 to 63"),
];

/// Guards against a fault of the settings that passes, or that is reported in the wrong place.
#[test]
fn settings_problems_have_their_place() {
    for (from, to, field, part) in SETTINGS_CASES {
        let text = SETTINGS.replacen(from, to, 1);
        let problems = settings::parse("s.jsonc", &text).expect_err(to);
        let [problem] = &problems[..] else {
            panic!("{to}: {problems:#?}");
        };
        assert_eq!(problem.field, *field, "{problem}");
        assert!(problem.accepted.contains(part), "{problem}");
        let line = text.lines().nth(problem.line as usize - 1).unwrap();
        let shown: String = line.chars().skip(problem.column as usize - 1).collect();
        // The content of a list is not repeated.
        let begins = match &*problem.value {
            list if list.starts_with('[') => "[",
            value => value,
        };
        assert!(shown.starts_with(begins), "{problem}: {shown}");
    }
}

/// Guards against a log that repeats a key which was pasted where its digest belongs.
#[test]
fn a_pasted_key_is_not_repeated() {
    let cases = [
        (r#""D1""#, r#""SECRET""#),
        (r#""D1""#, "'SECRET'"),
        (r#""D1""#, r#""SECRET"#),
        (r#""D1""#, r#"["SECRET"]"#),
        (r#""D1""#, "SECRET-of-a-workspace"),
        (r#"[{"name": "k", "digest": "D1"}]"#, r#""SECRET""#),
        (r#", "digest": "D1""#, r#" "digest": "SECRET""#),
        (
            r#"[{"name": "k", "digest": "D1"}]"#,
            r#"{"digest": "SECRET"}"#,
        ),
        (r#"[{"name": "k", "digest": "D1"}]"#, r#"["SECRET"]"#),
        (r#"{"name": "k", "digest": "D1"}"#, r#""k" "SECRET""#),
        (
            r#""limit": 6"#,
            r#""limit": 6, "keys": [{"name": "z", "digest": "SECRET"}]"#,
        ),
    ];
    for (from, to) in cases {
        let text = FLEET.replace(from, to).replace("D1", "SECRET");
        assert!(text.contains("SECRET"), "{to}");
        for problem in fleet::parse("f.jsonc", &text).expect_err(to) {
            assert!(!problem.to_string().contains("SECRET"), "{to}: {problem}");
        }
    }
}

/// Guards against a report that stops at the first problem.
#[test]
fn every_problem_is_reported_in_order() {
    let text = small()
        .replace(r#""share": 1"#, r#""share": 0"#)
        .replace(r#""size": 3"#, r#""size": -3"#)
        .replace(r#""slots": 4"#, r#""slots": 0"#)
        .replace(r#""period-days": 21"#, r#""period": 21"#);
    let problems = fleet::parse("f.jsonc", &text).unwrap_err();
    let fields: Vec<&str> = problems.iter().map(|p| p.field.as_str()).collect();
    let expected = [
        "workspaces[0].share",
        "pools[0].size",
        "services[0].slots",
        "plans[0].period-days",
        "plans[0].period",
    ];
    assert_eq!(fields, expected);
    let line = problems[0].to_string();
    let expected =
        "f.jsonc:5:30: workspaces[0].share: value 0: accepted an integer from 1 to 1000000";
    assert_eq!(line, expected);
}

/// Guards against a file of faults that floods the reader, and against a lost count.
#[test]
fn a_flood_of_problems_is_counted() {
    let text = format!(r#"{{"workspaces": [{}]}}"#, "1,".repeat(5_000));
    let problems = fleet::parse("f.jsonc", &text).unwrap_err();
    assert_eq!(problems.len(), 1_001);
    // 5,000 wrong workspaces, one list that is too long, three missing fields.
    assert_eq!(problems.last().unwrap().value, "4004 more problems");
}
