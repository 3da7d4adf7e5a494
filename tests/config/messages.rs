//! Voters, affirmations and heads.

use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::config::*;

/// Guards against excluding a running voter from the quorum.
#[test]
fn voter_has_ended_only_after_a_continuous_omission() {
    let at_second = |n: u64| Instant::from_start(Duration::from_secs(n));
    let read_seconds =
        |from: u64, to: u64, step: usize| (from..=to).step_by(step).collect::<Vec<_>>();
    let cases = [
        ("30 s", read_seconds(0, 30, 5), None, true),
        ("29 s", read_seconds(0, 29, 1), None, false),
        ("listed in between", read_seconds(0, 30, 5), Some(15), false),
        ("reads too far apart", read_seconds(0, 60, 12), None, false),
        (
            "a gap restarts the measurement",
            [read_seconds(0, 25, 5), read_seconds(40, 65, 5)].concat(),
            None,
            false,
        ),
    ];
    let voters = [Voter::new("a", 1)];
    for (name, reads, listed_at, expected) in cases {
        let mut presence = Presence::default();
        for at in reads {
            let names = listed_at
                .filter(|listed_at| *listed_at == at)
                .map(|_| "a".into());
            presence.on_list(
                at_second(at),
                at_second(at),
                &voters,
                &names.into_iter().collect(),
            );
        }
        assert_eq!(presence.has_ended(&voters[0]), expected, "{name}");
    }
}

/// Guards against affirmations that are too large, or keep too many proposals, at the target size
/// of 136 entry instances.
#[test]
fn affirmation_size_is_limited_with_136_voters() {
    let names: Vec<String> = (0..136).map(|n| format!("entry-{n:03}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let now = Instant::from_start(Duration::from_secs(100));
    let mut sender = State::example(names[0], &names, now);
    let mut receiver = State::example(names[1], &names, now);
    for sequence in 2..10 {
        let origin = Origin::new(Operation(sequence), "ana", 0);
        let commit = Commit::document(sender.revision().unwrap(), "[]", &origin);
        sender.on_prepare(now, commit.prepare());
    }
    let affirmation = sender.on_pull(now);
    // Position, vote and length prefixes take at most 48 bytes in any compact encoding.
    let size = affirmation.ages.len()
        + affirmation.pending.len() * 18
        + affirmation.from.name.len()
        + 8
        + 48;
    assert!(size < 400, "{size} bytes");
    assert_eq!(
        (affirmation.ages.len(), affirmation.pending.len()),
        (136, MAX_PENDING)
    );
    let started = std::time::Instant::now();
    (0..1000).for_each(|_| receiver.on_ages(now, now, &affirmation));
    println!(
        "affirmation of {size} bytes, applied in {:?}",
        started.elapsed() / 1000
    );
}

/// Guards against accepting a head row with a negative number, an unknown field or a malformed
/// operation.
#[test]
fn malformed_heads_are_rejected() {
    let json = State::example("a", &["a"], Instant::default())
        .revision()
        .unwrap()
        .head
        .to_json();
    assert!(Head::from_json(&json).is_ok());
    for (from, to) in [
        ("\"version\":1", "\"version\":-1"),
        ("{", "{\"more\":1,"),
        ("0001", "1"),
    ] {
        assert!(
            Head::from_json(&json.replacen(from, to, 1)).is_err(),
            "{from} as {to}"
        );
    }
}
