//! Limits, retries, cancellation and overload.

use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use coriandernotch::admit::Refusal;
use coriandernotch::call::Completion;
use coriandernotch::route::Verdict;

use super::fixture::{Fixture, LONG_TIMEOUT, NOTHING_HELD, Overrides, SLOTS, poll};

/// Guards against idle slots while all queued calls belong to a workspace without a free permit.
#[tokio::test(start_paused = true)]
async fn a_workspace_at_its_limit_does_not_block_others() {
    let fixture = Fixture::new(Overrides {
        red_limit: Some(1),
        ..Overrides::default()
    });
    let _red = fixture.grant("red", "one");
    let _waiting = fixture.wait("red", "one", LONG_TIMEOUT);
    let (mut admission, first) = fixture.admit("blue", "one", LONG_TIMEOUT);
    let answer = if first.is_pending() {
        poll(&mut admission)
    } else {
        first
    };
    assert!(matches!(answer, Poll::Ready(Ok(_))), "{answer:?}");
}

/// Guards against refusals of waiting calls when two services compete for the permits of a
/// workspace: the other service took the permit between the check that it is free and its use.
#[test]
fn services_do_not_take_each_others_permits() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let fixture = Arc::new(Fixture::new(Overrides {
            red_limit: Some(1),
            ..Overrides::default()
        }));
        let mut tasks = tokio::task::JoinSet::new();
        for task in 0..3 {
            let fixture = fixture.clone();
            let service = if task % 2 == 0 { "one" } else { "two" };
            tasks.spawn(async move {
                for _ in 0..8_000 {
                    let order = fixture.order("red", service, Duration::from_secs(60));
                    let grant = fixture
                        .dispatcher
                        .admit(order, fixture.now())
                        .await
                        .unwrap();
                    tokio::task::yield_now().await;
                    grant.finish(Verdict::Neutral, Completion::Confirmed, fixture.now());
                }
            });
        }
        while let Some(ended) = tasks.join_next().await {
            ended.unwrap();
        }
        assert_eq!(fixture.resources_held(), NOTHING_HELD);
    });
}

/// Guards against retry storms: with all targets unreachable, the retry budget limits the retries
/// and ejection stops even first attempts.
#[tokio::test(start_paused = true)]
async fn unreachable_targets_cause_no_retry_storm() {
    for targets in [1, 20] {
        let fixture = Fixture::with_size(targets, 8, Overrides::default());
        let (mut calls, mut attempts) = (0u32, 0u32);
        for _ in 0..2000 {
            calls += 1;
            if let Poll::Ready(Ok(mut grant)) = fixture.admit("blue", "one", LONG_TIMEOUT).1 {
                attempts += 1;
                while grant.retry(Verdict::Unreachable, fixture.now()).is_ok() {
                    attempts += 1;
                }
            }
            tokio::time::advance(Duration::from_millis(1)).await;
        }
        // Each target gets two attempts before its first ejection, which lasts 1 s, and two more
        // after it; the whole run takes 2 s.
        let bound = 2 * 2 * u32::from(targets) * 2;
        assert!(
            attempts <= bound,
            "{targets} targets: {attempts} attempts for {calls} calls"
        );
        assert_eq!(fixture.resources_held(), NOTHING_HELD);
    }
}

/// Guards against a retry budget that grows without first attempts or has no limit.
#[tokio::test(start_paused = true)]
async fn retries_stay_within_their_budget() {
    let fixture = Fixture::with_size(20, 8, Overrides::default());
    let mut retries = 0;
    for _ in 0..2000 {
        let mut grant = fixture.grant("blue", "one");
        // The neutral verdict ejects no target, so that only the budget limits the retries.
        while grant.retry(Verdict::Neutral, fixture.now()).is_ok() {
            retries += 1;
        }
    }
    assert!(
        (200..=264).contains(&retries),
        "{retries} retries for 2000 calls"
    );
    assert_eq!(fixture.resources_held(), NOTHING_HELD);
}

/// Guards against counters, queue entries or slots that are leaked when many calls are cancelled.
#[tokio::test(start_paused = true)]
async fn mass_cancellation_releases_all_resources() {
    let fixture = Fixture::new(Overrides::default());
    let running: Vec<_> = (0..2 * SLOTS)
        .map(|_| fixture.grant("blue", "one"))
        .collect();
    let mut waiting: Vec<_> = (0..900)
        .map(|_| fixture.wait("blue", "one", LONG_TIMEOUT))
        .collect();
    let mut last = waiting.pop().unwrap();
    // The slots become free after a third of the cancellations.
    waiting.drain(..300);
    drop(running);
    waiting.clear();
    let Poll::Ready(Ok(grant)) = poll(&mut last) else {
        panic!("the only call left in the queue got no slot");
    };
    drop(grant);
    assert_eq!(fixture.resources_held(), NOTHING_HELD);
}

/// Guards against unbounded queues, and against one workspace that uses up the queue of another.
#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_only_its_own_workspace() {
    let fixture = Fixture::new(Overrides {
        queue_limit: Some(5),
        ..Overrides::default()
    });
    let _running: Vec<_> = (0..2 * SLOTS)
        .map(|_| fixture.grant("blue", "one"))
        .collect();
    let _waiting: Vec<_> = (0..5)
        .map(|_| fixture.wait("blue", "one", LONG_TIMEOUT))
        .collect();
    let refused = fixture.admit("blue", "one", LONG_TIMEOUT).1;
    assert!(
        matches!(refused, Poll::Ready(Err(Refusal::QueueFull))),
        "{refused:?}"
    );
    let _other = fixture.wait("red", "one", LONG_TIMEOUT);
    assert_eq!(fixture.dispatcher.waiting(), 6);
}

/// Guards against collapse under overload: running calls whose callers gave up, refusing calls
/// late, and a queue that does not drain.
#[tokio::test(start_paused = true)]
async fn goodput_holds_under_overload() {
    const SERVICE_TIME: Duration = Duration::from_millis(50);
    const CALL_TIMEOUT: Duration = Duration::from_millis(500);
    const LOAD_DURATION: Duration = Duration::from_secs(4);
    let fixture = Arc::new(Fixture::with_size(2, 8, Overrides::default()));
    let capacity = 4.0 * 8.0 / SERVICE_TIME.as_secs_f64();
    let offered = 5.0 * capacity;
    let mut tasks = tokio::task::JoinSet::new();
    let calls = (offered * LOAD_DURATION.as_secs_f64()) as u32;
    let begin = fixture.now();
    for number in 0..calls {
        let at = begin + Duration::from_secs_f64(f64::from(number) / offered);
        tokio::time::sleep(at.since(fixture.now())).await;
        let fixture = fixture.clone();
        tasks.spawn(async move {
            let start = fixture.now();
            let order = fixture.order("blue", "one", CALL_TIMEOUT);
            let result = match fixture.dispatcher.admit(order, start).await {
                Ok(mut grant) => match grant.send(fixture.now()) {
                    Ok(_) => {
                        tokio::time::sleep(SERVICE_TIME).await;
                        grant.finish(Verdict::Answered, Completion::Confirmed, fixture.now());
                        Ok(())
                    }
                    Err(refusal) => Err(refusal),
                },
                Err(refusal) => Err(refusal),
            };
            (
                result,
                fixture.now().since(start),
                fixture.now().since(begin),
            )
        });
    }
    let (mut in_time, mut refusals) = (0u32, Vec::new());
    while let Some(ended) = tasks.join_next().await {
        match ended.unwrap() {
            (Ok(()), took, at) if took <= CALL_TIMEOUT && at <= LOAD_DURATION => in_time += 1,
            (Ok(()), ..) => {}
            (Err(_), took, _) => refusals.push(took),
        }
    }
    let goodput = f64::from(in_time) / (capacity * LOAD_DURATION.as_secs_f64());
    assert!(goodput > 0.9, "goodput {goodput} of the capacity");
    refusals.sort();
    let p50 = refusals[refusals.len() / 2];
    let p90 = refusals[refusals.len() * 9 / 10];
    println!(
        "goodput {goodput:.3}, refusals {} p50 {p50:?} p90 {p90:?}",
        refusals.len()
    );
    assert!(
        p90 <= Duration::from_millis(10),
        "a tenth of the refusals took {p90:?} or more"
    );
    assert_eq!(fixture.resources_held(), NOTHING_HELD);
}
