use coriandernotch::batch::admission::{Outlook, QueueForecast};

use crate::fixture::forecast;

/// Largest content of a row of the store, in bytes.
const MAX_ROW_BYTES: usize = 65_536;

fn encoded(outlook: &Outlook) -> usize {
    serde_json::to_vec(outlook).unwrap().len()
}

/// Guards against a row that the store refuses, with which the renewal would fail.
#[test]
fn an_outlook_of_a_large_fleet_fits_into_a_row() {
    for name_length in [1, 12, 63, 300] {
        for character in ["x", "\"", "\u{1}", "é", "😀"] {
            let name = |number: usize| format!("{}{number}", character.repeat(name_length));
            let full = |number| QueueForecast {
                queue: name(number).into(),
                processors: u64::MAX,
                reachable: u64::MAX,
                within_objective: u64::MAX,
                largest_kept: Some(u64::MAX),
                total: u64::MAX,
                over_rate: u64::MAX,
                arriving: u64::MAX,
                burst_ms: Some(u64::MAX),
            };
            let outlook = Outlook {
                token: u64::MAX,
                made_ms: u64::MAX,
                queues: (0..1_000).map(full).collect(),
                over_rate: (0..1_000).map(|n| (name(n).into(), u64::MAX)).collect(),
            };
            let bounded = outlook.bounded();
            assert!(encoded(&bounded) <= MAX_ROW_BYTES, "{}", encoded(&bounded));
            assert!(!bounded.queues.is_empty());
        }
    }
}

/// Guards against a bound that leaves out queues of the largest deployment.
#[test]
fn an_outlook_lists_45_pools_and_150_workspaces() {
    let named = |number| QueueForecast {
        queue: format!("queue-{number:020}").into(),
        ..forecast()
    };
    let outlook = Outlook {
        queues: (0..45).map(named).collect(),
        over_rate: (0..150).map(|n| (format!("w-{n}").into(), 1)).collect(),
        ..Outlook::default()
    };
    assert_eq!(outlook.clone().bounded().queues.len(), 45);
    assert_eq!(outlook.bounded().over_rate.len(), 150);
}

/// Guards against leaving out the queue that needs refusals most.
#[test]
fn an_outlook_keeps_the_longest_backlogs() {
    let named = |number: u64| QueueForecast {
        queue: format!("{number}").into(),
        total: forecast().total * (number + 1),
        ..forecast()
    };
    let outlook = Outlook {
        queues: (0..1_000).map(named).collect(),
        ..Outlook::default()
    };
    let bounded = outlook.bounded();
    assert!(bounded.queues.len() < 1_000);
    assert!(bounded.forecast("999").is_some() && bounded.forecast("0").is_none());
}

/// Guards against a new instance that cannot read the outlook of one with more or fewer fields.
#[test]
fn an_outlook_is_read_with_missing_and_unknown_fields() {
    let text = r#"{"token": 3, "queues": [{"queue": "q", "later": 1}], "later": []}"#;
    let outlook: Outlook = serde_json::from_str(text).unwrap();
    assert_eq!(outlook.token, 3);
    assert_eq!(outlook.forecast("q").unwrap().total, 0);
}
