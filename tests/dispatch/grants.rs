//! Grants that are revoked, late or lost.

use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use coriandernotch::admit::Refusal;
use coriandernotch::call::Completion;
use coriandernotch::route::Verdict;

use super::fixture::{Fixture, LONG_TIMEOUT, LONGEST_RUN, NOTHING_HELD, Overrides, SLOTS, poll};

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
