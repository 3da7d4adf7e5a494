//! Calls and the failures of targets.

use std::time::Duration;

use coriandernotch::standin::target::Mode;

use super::bed::{address, call, count_runs, start_bed, try_call};

/// Guards against a call that is sent over the connection to a target of another service, which can
/// happen because target ids repeat between services.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_run_on_targets_of_their_own_service() {
    let bed = start_bed(1).await;
    let to = address(&bed.nodes()[0]);
    for number in 0..20 {
        let service = if number % 2 == 0 { "one" } else { "two" };
        let id = format!("{service}-{number}");
        let reply = call(to, "POST", service, "blue-key", &id).await;
        assert_eq!((reply.status.as_u16(), reply.outcome()), (200, "answered"));
        assert_eq!(reply.body, id);
        let own_targets = bed
            .targets
            .iter()
            .filter(|(name, _)| name.starts_with(service));
        assert_eq!(
            own_targets.map(|(_, t)| t.count(&id)).sum::<u32>(),
            1,
            "{id}"
        );
    }
}

/// Guards against an unauthorised call that runs, or whose refusal has a wrong status or outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_calls_do_not_run_and_have_the_right_status() {
    let bed = start_bed(1).await;
    let to = address(&bed.nodes()[0]);
    let cases = [
        ("no such key", "one", "wrong", 401),
        ("another workspace's queue", "two", "red-key", 403),
        ("no such service", "three", "red-key", 404),
    ];
    for (name, service, key, status) in cases {
        let reply = call(to, "POST", service, key, name).await;
        assert_eq!(
            (reply.status.as_u16(), reply.outcome()),
            (status, "not-run"),
            "{name}"
        );
        assert_eq!(count_runs(&bed, name), 0, "{name}");
    }
}

/// Guards against a failed call on a target that is reported as not run, or that is retried.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failures_of_targets_have_correct_outcomes() {
    let cases = [
        (Mode::Fail, "POST", 500, "answered", 1..=1),
        (Mode::Close, "POST", 502, "unknown", 1..=1),
        (Mode::Hang, "POST", 504, "unknown", 1..=1),
        (Mode::Hang, "GET", 504, "unknown", 1..=1),
        (Mode::Leaving, "POST", 503, "answered", 0..=0),
    ];
    for (mode, method, status, outcome, count) in cases {
        let bed = start_bed(1).await;
        bed.targets.values().for_each(|t| t.set_mode(mode));
        let reply = call(address(&bed.nodes()[0]), method, "one", "red-key", "a").await;
        assert_eq!(
            (reply.status.as_u16(), reply.outcome()),
            (status, outcome),
            "{mode} {method}"
        );
        assert!(
            count.contains(&count_runs(&bed, "a")),
            "{mode} {method}: {}",
            count_runs(&bed, "a")
        );
    }
}

/// Guards against a truncated answer that is delivered as a complete one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_truncated_answer_is_aborted() {
    let bed = start_bed(1).await;
    bed.targets
        .values()
        .for_each(|t| t.set_mode(Mode::Truncate));
    // A short answer is truncated before its head is forwarded, a long one in the middle of its
    // body.
    for id in ["a".to_owned(), "b".repeat(4000)] {
        let reply = try_call(address(&bed.nodes()[0]), "POST", "one", "red-key", &id).await;
        let outcome = reply
            .as_ref()
            .map(|r| (r.status.as_u16(), r.outcome().to_owned()))
            .ok();
        let aborted = outcome.is_none() || outcome == Some((502, "unknown".to_owned()));
        assert!(aborted, "received a complete answer: {reply:?}");
    }
}

/// Guards against a call that fails because one target refuses connections, although another target
/// works.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_targets_are_skipped() {
    let bed = start_bed(1).await;
    let mut instance = bed
        .instances
        .lock()
        .unwrap()
        .iter()
        .find(|i| &*i.name == "one-east")
        .cloned()
        .unwrap();
    // Port 1 on loopback refuses connections.
    instance.address = "127.0.0.1:1".parse().unwrap();
    bed.set_instance(instance);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    for number in 0..10 {
        let id = format!("call-{number}");
        let reply = call(address(&bed.nodes()[0]), "POST", "one", "red-key", &id).await;
        assert_eq!(reply.status.as_u16(), 200, "{id}");
    }
}
