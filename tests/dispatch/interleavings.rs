//! Random interleavings of admissions, cancellations, ends of calls and configuration changes.

use std::cell::Cell;
use std::task::Poll;
use std::time::Duration;

use coriandernotch::call::{Completion, Grant};
use coriandernotch::route::Verdict;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::fixture::{Admission, Fixture, LONGEST_RUN, Overrides, SLOTS, poll};

/// Step of an interleaving. An index selects a waiting call or a grant, modulo their number.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Admits a call of workspace `red` or `blue` to service `one` or `two`.
    Admit {
        red: bool,
        one: bool,
        timeout_ms: u64,
    },
    /// Polls the admission of a waiting call.
    Poll(usize),
    /// Drops the admission of a waiting call, as when its caller disconnects.
    Cancel(usize),
    Send(usize),
    Retry(usize),
    Finish {
        index: usize,
        proved: bool,
        verdict: Verdict,
    },
    /// Drops a grant, sent or not.
    Drop(usize),
    /// Advances the time by this many milliseconds.
    Wait(u64),
    Tick,
    /// Puts the next version into force, with the state of data centre `a` and the key and
    /// limit of `red`.
    Change {
        out_of_service: bool,
        withdrawn: bool,
        limit: u32,
    },
    /// Sets whether the configuration is known to be current.
    SetFresh(bool),
    /// Lists the target `one-a-0` as leaving or as live.
    SetLeaving(bool),
    Drain,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % 64;
        match u8::arbitrary(g) % 64 {
            0..=19 => Step::Admit {
                red: bool::arbitrary(g),
                one: bool::arbitrary(g),
                timeout_ms: *g.choose(&[1, 50, 1000, 60_000]).unwrap(),
            },
            20..=27 => Step::Poll(index),
            28..=31 => Step::Cancel(index),
            32..=39 => Step::Send(index),
            40..=42 => Step::Retry(index),
            43..=50 => Step::Finish {
                index,
                proved: bool::arbitrary(g),
                verdict: *g
                    .choose(&[Verdict::Answered, Verdict::Failed, Verdict::Neutral])
                    .unwrap(),
            },
            51..=53 => Step::Drop(index),
            54..=56 => Step::Wait(*g.choose(&[1, 20, 500, 5_000]).unwrap()),
            57 => Step::Tick,
            58..=59 => Step::Change {
                out_of_service: bool::arbitrary(g),
                withdrawn: u8::arbitrary(g) % 4 == 0,
                limit: u32::arbitrary(g) % 4,
            },
            60..=61 => Step::SetFresh(u8::arbitrary(g) % 4 != 0),
            62 => Step::SetLeaving(bool::arbitrary(g)),
            _ if index < 4 => Step::Drain,
            _ => Step::Tick,
        }
    }
}

thread_local! {
    /// Admissions answered at once and admissions answered after waiting, over all interleavings.
    static ANSWERS: Cell<(usize, usize)> = const { Cell::new((0, 0)) };
}

#[derive(Default)]
struct Calls {
    waiting: Vec<Admission>,
    granted: Vec<Grant>,
}

impl Calls {
    fn keep_grant(&mut self, answer: Poll<Result<Grant, coriandernotch::admit::Refusal>>) {
        if let Poll::Ready(Ok(grant)) = answer {
            self.granted.push(grant);
        }
    }
}

fn perform(fixture: &mut Fixture, calls: &mut Calls, step: Step) {
    match step {
        Step::Admit {
            red,
            one,
            timeout_ms,
        } => {
            let (workspace, service) = (
                if red { "red" } else { "blue" },
                if one { "one" } else { "two" },
            );
            let (admission, first) =
                fixture.admit(workspace, service, Duration::from_millis(timeout_ms));
            if first.is_pending() {
                calls.waiting.push(admission);
            }
            ANSWERS.set((
                ANSWERS.get().0 + usize::from(first.is_ready()),
                ANSWERS.get().1,
            ));
            calls.keep_grant(first);
        }
        Step::Poll(index) if !calls.waiting.is_empty() => {
            let mut admission = calls.waiting.swap_remove(index % calls.waiting.len());
            let answer = poll(&mut admission);
            if answer.is_pending() {
                calls.waiting.push(admission);
            }
            ANSWERS.set((
                ANSWERS.get().0,
                ANSWERS.get().1 + usize::from(answer.is_ready()),
            ));
            calls.keep_grant(answer);
        }
        Step::Cancel(index) if !calls.waiting.is_empty() => {
            drop(calls.waiting.swap_remove(index % calls.waiting.len()));
        }
        Step::Send(index) if !calls.granted.is_empty() => {
            let index = index % calls.granted.len();
            let _ = calls.granted[index].send(fixture.now());
        }
        Step::Retry(index) if !calls.granted.is_empty() => {
            let index = index % calls.granted.len();
            let _ = calls.granted[index].retry(Verdict::Unreachable, fixture.now());
        }
        Step::Finish {
            index,
            proved,
            verdict,
        } if !calls.granted.is_empty() => {
            let end = if proved {
                Completion::Confirmed
            } else {
                Completion::Unconfirmed
            };
            let grant = calls.granted.swap_remove(index % calls.granted.len());
            grant.finish(verdict, end, fixture.now());
        }
        Step::Drop(index) if !calls.granted.is_empty() => {
            drop(calls.granted.swap_remove(index % calls.granted.len()));
        }
        Step::Tick => fixture.dispatcher.release_expired(fixture.now()),
        Step::Change {
            out_of_service,
            withdrawn,
            limit,
        } => fixture.enforce_next(
            SLOTS,
            Overrides {
                out_of_service: out_of_service.then_some("a"),
                key_withdrawn: withdrawn.then_some("red"),
                red_limit: Some(limit),
                queue_limit: Some(8),
            },
        ),
        Step::SetFresh(true) => fixture.refresh(),
        Step::SetFresh(false) => fixture
            .dispatcher
            .set_fresh_until(fixture.now() - Duration::from_secs(1)),
        Step::SetLeaving(leaving) => fixture.list(if leaving { &["one-a-0"] } else { &[] }),
        Step::Drain => fixture.dispatcher.drain(),
        _ => {}
    }
}

fn releases_everything(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut fixture = Fixture::new(Overrides {
            queue_limit: Some(8),
            ..Overrides::default()
        });
        let mut calls = Calls::default();
        for step in steps {
            match step {
                Step::Wait(millis) => tokio::time::advance(Duration::from_millis(millis)).await,
                step => perform(&mut fixture, &mut calls, step),
            }
            let load = fixture.dispatcher.running_load();
            if load.targets.values().any(|running| *running > SLOTS)
                || fixture.permits_in_use("red") > 3
            {
                return false;
            }
        }
        let Calls { waiting, granted } = calls;
        drop(waiting);
        drop(granted);
        let (running, waiting, _, slots) = fixture.resources_held();
        tokio::time::advance(LONGEST_RUN).await;
        fixture.dispatcher.release_expired(fixture.now());
        (running, waiting, slots) == (0, 0, 0) && fixture.resources_held() == (0, 0, 0, 0)
    })
}

/// Guards against slots, permits and counters that are leaked or granted twice in some order of
/// events.
#[test]
fn every_interleaving_releases_all_resources() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(500)
        .max_tests(500)
        .min_tests_passed(500)
        .quickcheck(releases_everything as fn(Vec<Step>) -> bool);
    let (direct, queued) = ANSWERS.get();
    assert!(
        direct > 5_000 && queued > 500,
        "too few admissions answered: {direct} at once, {queued} after waiting"
    );
}
