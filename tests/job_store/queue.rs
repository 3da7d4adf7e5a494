use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::job_store::{Acceptance, Action, Answer, Batch, Queue};

/// Time within which callers of these tests need a reply.
const WAIT: Duration = Duration::from_millis(2_880);

/// Time that a call takes which is answered.
const CALL: Duration = Duration::from_millis(8);

fn start() -> Instant {
    Instant::from_start(Duration::from_secs(1_000))
}

/// Returns the next transaction at a time, which must be due.
fn next_batch(queue: &mut Queue, now: Instant) -> Batch {
    match queue.next(now) {
        Action::Send(batch) => batch,
        other => panic!("{other:?} in place of a transaction"),
    }
}

/// Advances to the next time at which something is due, and returns what.
fn advance(queue: &mut Queue, now: &mut Instant) -> Action {
    for _ in 0..1_000 {
        match queue.next(*now) {
            Action::Wait(Some(at)) => *now = at.max(*now + Duration::from_millis(1)),
            action => return action,
        }
    }
    panic!("nothing is due");
}

/// Guards against one id in two transactions at once, and against calling a repeat refused whose first
/// submission may be stored.
#[test]
fn never_refuses_a_repeat_of_a_submission_that_may_be_stored() {
    let (mut queue, mut now) = (Queue::default(), start());
    queue.submit("a", 1, now + WAIT, now).unwrap();
    let first = next_batch(&mut queue, now);
    let repeat = queue.submit("a", 1, now + WAIT * 2, now).unwrap();
    assert!(
        matches!(queue.next(now), Action::Wait(Some(_))),
        "the id is in flight"
    );
    now = now + first.timeout;
    let replies = queue.record(&first, &Answer::Unknown, first.timeout, now);
    assert!(replies.is_empty(), "the first is tried again");
    // From here on the store refuses all calls.
    let mut replies = Vec::new();
    while replies.len() < 2 {
        match advance(&mut queue, &mut now) {
            Action::Send(batch) => {
                assert_eq!(batch.submissions.len(), 1, "one id twice in a transaction");
                now = now + CALL;
                replies.extend(queue.record(&batch, &Answer::Busy, CALL, now));
            }
            Action::Reply(key, acceptance) => replies.push((key, acceptance)),
            Action::Wait(_) => unreachable!(),
        }
    }
    assert!(
        replies
            .iter()
            .all(|(_, acceptance)| *acceptance == Acceptance::Unknown)
    );
    assert!(replies.iter().any(|(key, _)| *key == repeat));
    assert!(queue.is_empty());
}

/// Guards against calling a repeat refused while the first transaction with its id is in flight: the
/// write may still take effect. The caller of the repeat may leave less time than that call takes.
#[test]
fn never_refuses_a_repeat_of_a_submission_in_flight() {
    for wait in [WAIT, Duration::from_millis(250)] {
        let (mut queue, mut now) = (Queue::default(), start());
        queue.submit("a", 1, now + WAIT, now).unwrap();
        let first = next_batch(&mut queue, now);
        assert!(queue.is_uncertain("a", now), "it may be stored");
        let repeat = queue.submit("a", 1, now + wait, now).unwrap();
        let reply = advance(&mut queue, &mut now);
        assert_eq!(reply, Action::Reply(repeat, Acceptance::Unknown));
        // A refusal had no effect, so nothing is stored afterwards.
        queue.record(&first, &Answer::Busy, CALL, now);
        assert!(!queue.is_uncertain("a", now));
    }
}

/// Guards against the same after an instance began to stop.
#[test]
fn never_refuses_a_repeat_in_flight_while_the_instance_stops() {
    let (mut queue, mut now) = (Queue::default(), start());
    queue.submit("a", 1, now + WAIT, now).unwrap();
    let _first = next_batch(&mut queue, now);
    let repeat = queue.submit("a", 1, now + WAIT, now).unwrap();
    queue.close(now + Duration::from_millis(300));
    let reply = advance(&mut queue, &mut now);
    assert_eq!(reply, Action::Reply(repeat, Acceptance::Unknown));
}

/// Guards against a caller that gets no refusal in time, and against one refusal of the store that
/// ends a submission although its caller has time.
#[test]
fn tries_a_refused_submission_again_and_refuses_it_in_time() {
    let (mut queue, mut now) = (Queue::default(), start());
    let key = queue.submit("a", 1, now + WAIT, now).unwrap();
    let mut calls = 0;
    let reply = loop {
        match advance(&mut queue, &mut now) {
            Action::Send(batch) => {
                calls += 1;
                now = now + CALL;
                assert!(queue.record(&batch, &Answer::Busy, CALL, now).is_empty());
            }
            other => break other,
        }
    };
    assert_eq!(reply, Action::Reply(key, Acceptance::Refused));
    assert!((3..12).contains(&calls), "{calls} calls");
    // The store may refuse this instance only: the caller has time to go elsewhere.
    assert!(now.since(start()) <= WAIT / 2, "{:?}", now.since(start()));
}

/// Guards against a caller with a short deadline whose call is given up early, and which then counts as
/// a store that does not answer: the window of the whole instance was halved.
#[test]
fn a_call_cut_short_by_its_caller_says_nothing_of_the_store() {
    let short = Duration::from_millis(250);
    for (wait, is_halved) in [(short, false), (WAIT, true)] {
        let (mut queue, now) = (Queue::default(), start());
        queue.submit("a", 1, now + wait, now).unwrap();
        let batch = next_batch(&mut queue, now);
        let before = queue.window.limit();
        let (took, at) = (batch.timeout, now + batch.timeout);
        queue.record(&batch, &Answer::Unknown, took, at);
        assert_eq!(queue.window.limit() < before, is_halved, "{wait:?}");
        assert_eq!(queue.window.in_flight(), 0);
        assert!(queue.is_uncertain("a", at), "it may be stored all the same");
    }
}

/// Guards against a batch of unknown outcome that holds up those behind it for 2.6 s.
#[test]
fn an_unknown_outcome_holds_up_others_for_one_call() {
    let (mut queue, mut now) = (Queue::default(), start());
    queue.submit("a", 1, now + WAIT, now).unwrap();
    let first = next_batch(&mut queue, now);
    // An id in the same partition.
    let other = (0..).map(|n| format!("b{n}")).find(|id| {
        let partition = coriandernotch::job_store::Partition::of_job(id);
        partition == first.partition
    });
    let other = queue.submit(&other.unwrap(), 1, now + WAIT, now).unwrap();
    now = now + first.timeout;
    queue.record(&first, &Answer::Unknown, first.timeout, now);
    let second = next_batch(&mut queue, now);
    assert_eq!(second.submissions, [other], "the one behind goes next");
    now = now + CALL;
    queue.record(&second, &Answer::Applied, CALL, now);
    let third = next_batch(&mut queue, now);
    assert_eq!(third.submissions, first.submissions);
    let answer = Answer::Conflict {
        stored: third.submissions.clone(),
        cancelled: Vec::new(),
    };
    let replies = queue.record(&third, &answer, CALL, now + CALL);
    assert_eq!(replies, [(first.submissions[0], Acceptance::Stored)]);
}

/// Guards against callers that get a broken connection because their instance stops.
#[test]
fn refuses_what_is_not_sent_before_the_instance_ends() {
    let (mut queue, mut now) = (Queue::default(), start());
    let sent = queue.submit("a", 1, now + WAIT, now).unwrap();
    let batch = next_batch(&mut queue, now);
    let key = queue.submit("a", 1, now + WAIT, now).unwrap();
    assert_eq!(batch.submissions, [sent]);
    queue.record(&batch, &Answer::Busy, CALL, now);
    let ends_at = now + Duration::from_secs(1);
    queue.close(ends_at);
    let mut replies = Vec::new();
    while replies.len() < 2 {
        match advance(&mut queue, &mut now) {
            Action::Send(batch) => {
                queue.record(&batch, &Answer::Busy, CALL, now);
            }
            Action::Reply(key, acceptance) => replies.push((key, acceptance)),
            Action::Wait(_) => unreachable!(),
        }
    }
    replies.sort_by_key(|(key, _)| *key);
    assert_eq!(
        replies,
        [(sent, Acceptance::Refused), (key, Acceptance::Refused)]
    );
    assert!(now < ends_at, "{:?}", now.since(start()));
}

/// Guards against a job that the store does not take and that ends others of its transaction, and
/// against calling it again without end.
#[test]
fn a_rejected_job_does_not_end_those_beside_it() {
    let (mut queue, now) = (Queue::default(), start());
    let bad = queue.submit("a", 1, now + WAIT, now).unwrap();
    let lead = next_batch(&mut queue, now);
    queue.record(&lead, &Answer::Busy, CALL, now);
    let good = (0..).map(|n| format!("b{n}")).find(|id| {
        let partition = coriandernotch::job_store::Partition::of_job(id);
        partition == lead.partition
    });
    let good = queue.submit(&good.unwrap(), 1, now + WAIT, now).unwrap();
    let (mut now, mut replies, mut calls) = (now, Vec::new(), 0);
    while replies.len() < 2 {
        let Action::Send(batch) = advance(&mut queue, &mut now) else {
            panic!("no submission is given up");
        };
        calls += 1;
        let answer = match batch.submissions.contains(&bad) {
            true => Answer::Rejected,
            false => Answer::Applied,
        };
        now = now + CALL;
        replies.extend(queue.record(&batch, &answer, CALL, now));
    }
    assert!(replies.contains(&(bad, Acceptance::Refused)));
    assert!(replies.contains(&(good, Acceptance::Stored)));
    assert_eq!(calls, 3);
}

/// Guards against submissions that fill the memory of a small instance while the store is slow.
#[test]
fn bounds_the_size_of_what_waits() {
    let (mut queue, now) = (Queue::default(), start());
    let row = 64 << 10;
    let submit = |queue: &mut Queue, n: u32| queue.submit(&format!("{n}"), row, now + WAIT, now);
    let accepted = (0..1_000)
        .filter(|n| submit(&mut queue, *n).is_some())
        .count();
    assert_eq!(accepted, 256);
    let batch = next_batch(&mut queue, now);
    let replies = queue.record(&batch, &Answer::Applied, CALL, now + CALL);
    assert!(!replies.is_empty());
    assert!(submit(&mut queue, 1_000).is_some(), "room is free again");
}
