//! Races between admission, dispatch and the events that revoke a grant, without sockets.

mod fixture;
mod interleavings;

use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use coriandernotch::admit::Refusal;
use coriandernotch::call::Completion;
use coriandernotch::route::Verdict;
use fixture::{Fixture, LONGEST_RUN, Overrides, SLOTS, poll};

const NOTHING_HELD: (usize, usize, u32, u32) = (0, 0, 0, 0);
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a call that is sent although a condition of its grant no longer holds, and
/// against slots or permits that such a call never releases.
#[tokio::test(start_paused = true)]
async fn a_grant_is_checked_again_before_sending() {
    type Act = fn(&mut Fixture);
    let cases: [(&str, Act, Result<(), Refusal>); 12] = [
        ("nothing changes", |_| {}, Ok(())),
        (
            "key withdrawn",
            |fixture| {
                fixture.enforce_next(
                    SLOTS,
                    Overrides {
                        key_withdrawn: Some("red"),
                        ..Overrides::default()
                    },
                );
            },
            Err(Refusal::Withdrawn),
        ),
        (
            "key withdrawn in a pending version",
            |fixture| {
                fixture.enforce_pending(
                    SLOTS,
                    Overrides {
                        key_withdrawn: Some("red"),
                        ..Overrides::default()
                    },
                );
            },
            Err(Refusal::Withdrawn),
        ),
        (
            "data centre out of service",
            |fixture| {
                fixture.enforce_next(
                    SLOTS,
                    Overrides {
                        out_of_service: Some("a"),
                        ..Overrides::default()
                    },
                );
            },
            Err(Refusal::NoTarget),
        ),
        (
            "data centre out of service in a pending version",
            |fixture| {
                fixture.enforce_pending(
                    SLOTS,
                    Overrides {
                        out_of_service: Some("a"),
                        ..Overrides::default()
                    },
                );
            },
            Err(Refusal::NoTarget),
        ),
        (
            "other data centre out of service",
            |fixture| {
                fixture.enforce_next(
                    SLOTS,
                    Overrides {
                        out_of_service: Some("b"),
                        ..Overrides::default()
                    },
                );
            },
            Ok(()),
        ),
        (
            "configuration stale",
            |fixture| {
                fixture
                    .dispatcher
                    .set_fresh_until(fixture.now() - Duration::from_millis(1));
            },
            Err(Refusal::Stale),
        ),
        (
            "limit lowered to zero",
            |fixture| {
                fixture.enforce_next(
                    SLOTS,
                    Overrides {
                        red_limit: Some(0),
                        ..Overrides::default()
                    },
                );
            },
            Err(Refusal::LimitReached),
        ),
        (
            "drain",
            |fixture| fixture.dispatcher.drain(),
            Err(Refusal::ShuttingDown),
        ),
        (
            "target leaving",
            |fixture| fixture.list(&["one-a-0"]),
            Err(Refusal::NoTarget),
        ),
        (
            "target missing from the list",
            |fixture| {
                fixture
                    .dispatcher
                    .set_instances(Arc::from([]), fixture.now());
            },
            Err(Refusal::NoTarget),
        ),
        // The connection is already open, so sending the call is better than refusing it.
        (
            "target ejected",
            |fixture| {
                let other = fixture.grant("blue", "one");
                (0..20).for_each(|_| other.report(Verdict::Unreachable, fixture.now()));
                other.finish(Verdict::Neutral, Completion::Confirmed, fixture.now());
            },
            Ok(()),
        ),
    ];
    for (name, act, expected) in cases {
        let mut fixture = Fixture::new(Overrides::default());
        let mut grant = fixture.grant("red", "one");
        act(&mut fixture);
        assert_eq!(grant.send(fixture.now()).map(drop), expected, "{name}");
        grant.finish(Verdict::Neutral, Completion::Confirmed, fixture.now());
        assert_eq!(fixture.resources_held(), NOTHING_HELD, "{name}");
    }
}

/// Guards against a call that is sent after its caller's deadline.
#[tokio::test(start_paused = true)]
async fn a_grant_is_not_sent_after_its_deadline() {
    let fixture = Fixture::new(Overrides::default());
    let mut grant = fixture.grant("red", "one");
    tokio::time::advance(LONG_TIMEOUT).await;
    assert_eq!(grant.send(fixture.now()), Err(Refusal::DeadlinePassed));
    assert_eq!(
        grant.retry(Verdict::Neutral, fixture.now()),
        Err(Refusal::DeadlinePassed)
    );
    drop(grant);
    assert_eq!(fixture.resources_held(), NOTHING_HELD);
}

/// Guards against a leaked slot when a slot is granted while the waiting caller disconnects or its
/// deadline passes, in either order.
#[tokio::test(start_paused = true)]
async fn a_grant_that_is_not_received_is_released() {
    for after in [
        Duration::ZERO,
        Duration::from_millis(99),
        Duration::from_millis(100),
    ] {
        for polled in [false, true] {
            for freed_first in [false, true] {
                let fixture = Fixture::new(Overrides::default());
                let mut running: Vec<_> = (0..2 * SLOTS)
                    .map(|_| fixture.grant("blue", "one"))
                    .collect();
                let mut waiting = fixture.wait("blue", "one", Duration::from_millis(100));
                let free = running.pop().unwrap();
                let case = format!("after {after:?} polled {polled} freed first {freed_first}");
                tokio::time::advance(after).await;
                let freed_later = match freed_first {
                    true => {
                        free.finish(Verdict::Neutral, Completion::Confirmed, fixture.now());
                        None
                    }
                    false => Some(free),
                };
                if polled {
                    drop(poll(&mut waiting));
                }
                drop(waiting);
                drop(freed_later);
                assert_eq!(
                    fixture.resources_held(),
                    (running.len(), 0, running.len() as u32, running.len() as u32),
                    "{case}"
                );
                drop(fixture.grant("blue", "one"));
            }
        }
    }
}

/// Guards against calls that are queued after a drain and then run or hang: the check for a drain
/// and the push into the queue must be atomic.
#[test]
fn no_call_is_queued_after_a_drain() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    for round in 0..200 {
        let started = std::sync::Barrier::new(2);
        let fixture = Fixture::new(Overrides::default());
        let running: Vec<_> = (0..2 * SLOTS)
            .map(|_| fixture.grant("blue", "one"))
            .collect();
        let service = fixture.snapshot.service_id("one").unwrap();
        let mut waiting = Vec::new();
        std::thread::scope(|scope| {
            let fixture = &fixture;
            // Calls that passed the first check wait for the lock of the service when the drain
            // starts.
            let admissions = fixture.dispatcher.with_targets(service, |_| {
                let runtime = runtime.handle().clone();
                let admissions: Vec<_> = (0..3)
                    .map(|_| {
                        let runtime = runtime.clone();
                        scope.spawn(move || {
                            let _context = runtime.enter();
                            fixture.admit("blue", "one", LONG_TIMEOUT)
                        })
                    })
                    .collect();
                std::thread::sleep(Duration::from_millis(2));
                let started = &started;
                scope.spawn(move || {
                    started.wait();
                    fixture.dispatcher.drain();
                });
                started.wait();
                // Long enough for the drain to reach the lock, too short for it to be parked there:
                // a thread that still spins when the lock is released takes it before parked ones.
                (0..round * 4).for_each(|_| std::hint::spin_loop());
                admissions
            });
            let admissions = admissions.into_iter().flatten();
            waiting.extend(admissions.map(|thread| thread.join().unwrap()));
        });
        assert_eq!(fixture.dispatcher.waiting(), 0);
        drop(running);
        for (mut admission, first) in waiting {
            let answer = if first.is_pending() {
                poll(&mut admission)
            } else {
                first
            };
            assert!(
                matches!(answer, Poll::Ready(Err(Refusal::ShuttingDown))),
                "{answer:?}"
            );
        }
        assert_eq!(fixture.resources_held(), NOTHING_HELD);
    }
}

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

/// Guards against a permit or slot that is released while its call may still be running, and
/// against one that is never released.
#[tokio::test(start_paused = true)]
async fn a_permit_stays_in_use_until_its_call_has_ended() {
    let cases: [(&str, bool, Option<Completion>, u32); 4] = [
        ("dropped before it was sent", false, None, 0),
        ("dropped after it was sent", true, None, 1),
        (
            "ended without confirmation",
            true,
            Some(Completion::Unconfirmed),
            1,
        ),
        (
            "ended with confirmation",
            true,
            Some(Completion::Confirmed),
            0,
        ),
    ];
    for (name, sent, end, held) in cases {
        let fixture = Fixture::new(Overrides::default());
        let mut grant = fixture.grant("red", "one");
        if sent {
            assert_eq!(
                grant.send(fixture.now()),
                Ok(fixture.now() + LONGEST_RUN),
                "{name}"
            );
        }
        tokio::time::advance(Duration::from_secs(1)).await;
        match end {
            Some(end) => grant.finish(Verdict::Neutral, end, fixture.now()),
            None => drop(grant),
        }
        let until_last_millisecond = LONGEST_RUN - Duration::from_millis(1_001);
        tokio::time::advance(until_last_millisecond).await;
        fixture.dispatcher.release_expired(fixture.now());
        assert_eq!(fixture.permits_in_use("red"), held, "{name}");
        tokio::time::advance(Duration::from_millis(1)).await;
        fixture.dispatcher.release_expired(fixture.now());
        assert_eq!(fixture.resources_held(), NOTHING_HELD, "{name}");
    }
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
