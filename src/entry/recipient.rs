use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::signals::Signals;
use super::term::Term;
use crate::batch::{Order, TaskId, WorkerKey};
use crate::clock;
use crate::platform::api::{Fault, Worker};
use crate::telemetry::{self, OrderInFlight};

/// Time that the response to an order may take.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a start order waits for an answer of its worker.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of attempts to stop a run; after them the engine decides again.
const STOP_ATTEMPTS: u32 = 4;

/// Delay after an attempt to stop a run that did not reach the worker.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The worker to which orders are sent, and the term in which they are decided.
pub(super) struct Recipient {
    pub(super) term: Arc<Term>,
    pub(super) key: WorkerKey,
    pub(super) worker: Arc<Worker>,
    pub(super) signals: Arc<Signals>,
}

impl Recipient {
    /// Returns the time after which an answer is late.
    pub(super) fn allowance(&self) -> Duration {
        self.term.answer_time().allowance()
    }

    pub(super) async fn send(&self, order: Order) {
        let _in_flight = OrderInFlight::begin();
        match order {
            Order::Start(run) => {
                self.await_answer().await;
                self.start_run(run).await;
            }
            Order::Stop { task, number } => self.stop_run(&task, number).await,
            Order::Pace {
                task,
                number,
                percent,
            } => self.limit_speed(&task, number, percent).await,
        }
    }

    /// Waits for the answer of the worker to a poll, if tasks may not be started on it before.
    async fn await_answer(&self) {
        let timeout = sleep(ANSWER_TIMEOUT);
        tokio::pin!(timeout);
        let must_answer = || {
            let engine = self.term.engine();
            engine.must_answer_before_start(self.key, clock::now())
        };
        while self.term.may_send_orders() && must_answer() {
            tokio::select! {
                () = self.signals.answered.notified() => {}
                () = &mut timeout => return,
            }
        }
    }

    /// Orders the stop of a run until the worker confirms it. The time for an answer begins short and
    /// doubles, because the worker may be slow.
    async fn stop_run(&self, task: &TaskId, number: u64) {
        for attempt in 0..STOP_ATTEMPTS {
            if !self.term.may_send_orders() {
                return;
            }
            let timeout = self.allowance() * 2_u32.pow(attempt);
            let timeout = timeout.min(RESPONSE_TIMEOUT);
            match self.worker.stop(task, number, timeout).await {
                Ok(_) => {
                    telemetry::count_order("stop", "confirmed");
                    self.term.engine().record_stop_confirmation(
                        self.key,
                        task,
                        number,
                        clock::now(),
                    );
                    self.signals.unverified.notify_one();
                    return;
                }
                Err(fault) => {
                    self.record_failed_order("stop", &fault);
                    if fault.had_no_effect() {
                        sleep(RETRY_DELAY).await;
                    }
                }
            }
        }
    }

    async fn limit_speed(&self, task: &TaskId, number: u64, percent: u64) {
        let worker = &self.worker;
        let result = worker
            .limit_speed(task, number, percent, RESPONSE_TIMEOUT)
            .await;
        match result {
            Ok(_) => telemetry::count_order("pace", "confirmed"),
            Err(fault) => self.record_failed_order("pace", &fault),
        }
    }

    fn record_failed_order(&self, kind: &'static str, fault: &Fault) {
        let outcome = if fault.had_no_effect() {
            "unsent"
        } else {
            "unknown"
        };
        telemetry::count_order(kind, outcome);
        log::debug!(event = "order-failed", kind, worker = self.worker.id(), fault:% = fault; "");
    }
}
