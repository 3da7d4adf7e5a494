use std::sync::Arc;
use std::time::Duration;

use super::schedule::dispatch;
use super::shared::unix_time_ms;
use super::signals::Signals;
use super::term::Term;
use crate::batch::{Renewal, Snapshot, WorkerKey};
use crate::clock::{self, Instant};
use crate::platform::api::{Fault, Worker};

/// Time for which a worker may hold back its response to a poll until a run ends.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Shorter wait while tasks on the worker compete for its processors.
const CONTENDED_WAIT: Duration = Duration::from_millis(400);

/// Shorter wait while a long-running task on the worker starts up.
const SETTLING_WAIT: Duration = Duration::from_millis(250);

/// Shorter wait while it is unknown whether a run has started.
const UNCERTAIN_WAIT: Duration = Duration::from_millis(100);

/// Shorter wait while answers are missing and short tasks on the worker may end: a poll whose answer
/// is lost hides their ends for as long.
const UNRELIABLE_WAIT: Duration = Duration::from_millis(100);

/// Longest time that a response may take beyond the wait. A poll of a worker that answered the one
/// before is given up sooner and repeated, because its answer may be lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay between two polls, so that runs that end together are reported by one.
const BATCH_DELAY: Duration = Duration::from_millis(25);

/// Delay while the end of a run is not stored yet: the worker reports the end until it is
/// acknowledged, so the next poll would return at once.
const STORE_PAUSE: Duration = Duration::from_millis(50);

/// Delay after a poll that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long one poll of a worker takes.
struct Plan {
    /// Time for which the worker may hold back its response.
    wait: Duration,
    /// Time that the response may take beyond the wait.
    timeout: Duration,
}

impl Plan {
    /// Plans a poll that is sent at `sent`. `last_sent` is when the one before was sent, and
    /// `is_repeated` whether that one had no answer in time.
    fn new(
        term: &Term,
        key: WorkerKey,
        is_repeated: bool,
        last_sent: Instant,
        sent: Instant,
    ) -> Self {
        let answers_are_missing = term.answer_time().are_missing(sent);
        let engine = term.engine();
        let is_urgent = is_repeated
            || !engine.answers(key)
            || engine.must_answer_before_start(key, sent)
            || engine.has_unverified_run(key, last_sent);
        let wait = if is_urgent {
            Duration::ZERO
        } else if engine.has_uncertain_run(key) {
            UNCERTAIN_WAIT
        } else if engine.has_starting_task(key) {
            SETTLING_WAIT
        } else if engine.has_latency_conflict(key) {
            CONTENDED_WAIT
        } else if answers_are_missing && engine.has_short_run(key) {
            UNRELIABLE_WAIT
        } else {
            POLL_WAIT
        };
        let timeout = if is_repeated || !engine.answers(key) {
            RESPONSE_TIMEOUT
        } else {
            term.answer_time().allowance()
        };
        Self { wait, timeout }
    }

    /// Returns whether a missing answer shows that the worker does not answer. Otherwise the poll is
    /// repeated.
    fn is_last(&self) -> bool {
        self.timeout >= RESPONSE_TIMEOUT
    }
}

/// Polls one worker for the state of its runs while the engine needs it, and renews its lease.
pub(super) async fn poll(
    term: Arc<Term>,
    key: WorkerKey,
    worker: Arc<Worker>,
    signals: Arc<Signals>,
) {
    let mut last_sent = Instant::default();
    let mut is_repeated = false;
    loop {
        if !term.has_handle(key, &signals) {
            return;
        }
        let is_due = term.may_send_orders() && term.engine().needs_poll(key);
        if !is_due {
            tokio::select! {
                () = signals.due.notified() => {}
                () = tokio::time::sleep(POLL_WAIT) => {}
            }
            continue;
        }
        let sent = clock::now();
        let plan = Plan::new(&term, key, is_repeated, last_sent, sent);
        last_sent = sent;
        term.engine().set_poll_wait(key, plan.wait);
        let answer = worker.poll(plan.wait, plan.timeout, |opened_at| {
            renewal(&term, key, opened_at)
        });
        let answer = tokio::select! {
            answer = answer => answer,
            // Another poll is answered at once.
            () = await_unverified_run(&term, key, &signals, sent) => continue,
        };
        let was_repeated = std::mem::take(&mut is_repeated);
        let pause = match answer {
            Ok(snapshot) => {
                if was_repeated {
                    term.answer_time().record_missing(clock::now());
                }
                process_answer(&term, key, &snapshot, sent)
            }
            Err(Fault::Unknown { .. }) if !plan.is_last() => {
                is_repeated = true;
                continue;
            }
            Err(fault) => {
                handle_fault(&term, key, &fault, sent);
                RETRY_DELAY
            }
        };
        // A task can start elsewhere once the stop of a run that was not found is confirmed.
        dispatch(&term);
        signals.answered.notify_one();
        term.placement_wake.notify_one();
        tokio::time::sleep(pause).await;
    }
}

/// Returns what a poll renews on a connection that was opened at a time. `None` if orders may no
/// longer be sent: the connection may have taken long to open.
fn renewal(term: &Term, key: WorkerKey, opened_at: Instant) -> Option<Renewal> {
    let may_send = term.may_send_orders();
    may_send.then(|| term.engine().renewal(key, opened_at, clock::now()))
}

/// Processes the answer to a poll sent at `sent`. Returns the delay before the next one.
fn process_answer(term: &Term, key: WorkerKey, snapshot: &Snapshot, sent: Instant) -> Duration {
    let mut engine = term.engine();
    engine.process_poll(key, snapshot, sent, unix_time_ms(), clock::now());
    if engine.is_unstored_member(key) {
        term.renewal_wake.notify_one();
    }
    if engine.has_unstored_ends(key) {
        STORE_PAUSE
    } else {
        BATCH_DELAY
    }
}

/// Waits until a poll sent at `sent` can no longer show whether all runs are present, so that
/// waiting for its answer is useless.
async fn await_unverified_run(term: &Term, key: WorkerKey, signals: &Signals, sent: Instant) {
    loop {
        signals.unverified.notified().await;
        if term.engine().has_unverified_run(key, sent) {
            return;
        }
    }
}

/// Processes the failure of a poll sent at `sent`.
fn handle_fault(term: &Term, key: WorkerKey, fault: &Fault, sent: Instant) {
    log::debug!(event = "poll-failed", fault:% = fault; "");
    match fault {
        Fault::Refused { status: 409, .. } => term.end("a worker knows a newer leader"),
        // Another process answers at the address.
        Fault::Refused { status: 421, .. } => {
            let mut engine = term.engine();
            engine.record_replaced_process(key, sent, clock::now());
        }
        Fault::Refused { .. }
        | Fault::Absent { .. }
        | Fault::Unsent { .. }
        | Fault::Unknown { .. } => {
            term.engine().record_no_answer(key);
        }
    }
}
