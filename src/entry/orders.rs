use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{self, sleep, sleep_until};

use super::signals::Signals;
use super::term::Term;
use crate::batch::{Grant, Launch, Order, Renewal, Reply, RunKey, TaskId, WorkerKey};
use crate::clock::{self, Instant};
use crate::platform::api::{Fault, Worker};
use crate::telemetry::{self, OrderInFlight};

/// Time that the response to an order may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a start order waits for an answer of its worker.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of connections that are tried for a start order before the engine decides again.
const START_ATTEMPTS: u32 = 3;

/// Number of attempts to stop a run; after them the engine decides again.
const STOP_ATTEMPTS: u32 = 4;

/// Delay after an attempt to stop a run that did not reach the worker.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Share of the time for an answer after which the next order is sent without it. Most answers take
/// less, so one connection serves all orders.
const HEAD_START: f64 = 0.3;

/// Number of orders for one worker that may wait for their answers.
const MAX_IN_FLIGHT: usize = 8;

/// The worker to which orders are sent, and the term in which they are decided.
struct Recipient {
    term: Arc<Term>,
    key: WorkerKey,
    worker: Arc<Worker>,
    signals: Arc<Signals>,
}

/// Sends the orders for one worker. Each is sent once the one before has an answer or had some time
/// for it: a worker may carry out an order without answering it.
pub(super) async fn send_orders(
    term: Arc<Term>,
    key: WorkerKey,
    worker: Arc<Worker>,
    signals: Arc<Signals>,
    mut orders: UnboundedReceiver<Order>,
) {
    let recipient = Recipient {
        term,
        key,
        worker,
        signals,
    };
    let mut in_flight = FuturesUnordered::new();
    let mut sent = 0_u64;
    // When the next order is sent although the last one has no answer.
    let mut next_at = time::Instant::now();
    let mut is_ready = true;
    loop {
        let may_send = is_ready && in_flight.len() < MAX_IN_FLIGHT;
        tokio::select! {
            order = orders.recv(), if may_send => {
                let Some(order) = order else {
                    return;
                };
                sent += 1;
                let delay = recipient.allowance().mul_f64(HEAD_START);
                (is_ready, next_at) = (false, time::Instant::now() + delay);
                let (number, recipient) = (sent, &recipient);
                in_flight.push(async move {
                    recipient.send(order).await;
                    number
                });
            }
            Some(number) = in_flight.next() => is_ready |= number == sent,
            () = sleep_until(next_at), if !is_ready => is_ready = true,
        }
    }
}

impl Recipient {
    /// Returns the time after which an answer is late.
    fn allowance(&self) -> Duration {
        self.term.answer_time().allowance()
    }

    async fn send(&self, order: Order) {
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

    async fn start_run(&self, run: RunKey) {
        let launch = self.term.engine().launch(run, clock::now());
        let Some(launch) = launch else {
            return self.record_start_not_sent(run);
        };
        let answer_age = self.term.engine().time_since_answer(self.key, clock::now());
        let Some((reply, clock_ms)) = self.send_verified_start(run, &launch).await else {
            return self.record_start_not_sent(run);
        };
        let now = clock::now();
        log::info!(event = "task-started", job = launch.task.job, step = launch.task.step,
            index = launch.task.index, run = launch.number, worker = self.worker.id(),
            token = self.term.token, heard_ms = answer_age.as_millis(), reply:? = reply; "");
        telemetry::count_order("start", (&reply).into());
        let mut engine = self.term.engine();
        if let Some(decided_at) = engine.decided_at(run) {
            telemetry::record_start_time(now.since(decided_at));
        }
        engine.record_start_outcome(run, &reply, clock_ms, now);
        drop(engine);
        if reply == Reply::Fenced {
            self.term.end("a worker knows a newer leader");
        }
        if reply != Reply::Started {
            self.signals.unverified.notify_one();
            self.term.placement_wake.notify_one();
        }
    }

    fn record_start_not_sent(&self, run: RunKey) {
        telemetry::count_order("start", "unsent");
        self.term.engine().record_start_not_sent(run, clock::now());
        self.term.placement_wake.notify_one();
    }

    /// Sends a start order on a connection that leads to the process whose runs are known. For a new
    /// one, a poll shows that first. Returns `None` if the order was not sent.
    async fn send_verified_start(
        &self,
        run: RunKey,
        launch: &Launch,
    ) -> Option<(Reply, Option<u64>)> {
        for _ in 0..START_ATTEMPTS {
            let is_unverified = AtomicBool::new(false);
            let answer = self.send_start(run, launch, &is_unverified).await;
            if answer.is_some() || !is_unverified.into_inner() {
                return answer;
            }
            if !self.verify_process().await {
                return None;
            }
        }
        None
    }

    /// Polls the worker without a lease, on the connection that was opened last. Returns whether the
    /// process answers whose runs are known.
    async fn verify_process(&self) -> bool {
        let sent = clock::now();
        let renew = |_| self.term.may_send_orders().then(Renewal::default);
        let answer = self.worker.poll(Duration::ZERO, RESPONSE_TIMEOUT, renew);
        match answer.await {
            Ok(snapshot) => {
                let mut engine = self.term.engine();
                engine.verify_process(self.key, snapshot.born_ms, sent)
            }
            Err(fault) => {
                log::debug!(event = "process-unverified", worker = self.worker.id(),
                    fault:% = fault; "");
                false
            }
        }
    }

    /// Returns the end of the lease that a start order grants on a connection that was opened at a
    /// time. `None` if the order may not be sent on it: the connection may have taken long to open.
    fn grant(&self, run: RunKey, opened_at: Instant, is_unverified: &AtomicBool) -> Option<u64> {
        if !self.term.may_send_orders() {
            return None;
        }
        let grant = self
            .term
            .engine()
            .grant_by_start(run, opened_at, clock::now());
        is_unverified.store(grant == Grant::Unverified, Ordering::Relaxed);
        match grant {
            Grant::Until(deadline) => Some(deadline),
            Grant::Unverified | Grant::Denied => None,
        }
    }

    /// Sends a start order. When its answer is late, lets a poll show whether the worker has the run.
    /// Returns `None` if it was not sent, and sets `is_unverified` if a poll must come first.
    async fn send_start(
        &self,
        run: RunKey,
        launch: &Launch,
        is_unverified: &AtomicBool,
    ) -> Option<(Reply, Option<u64>)> {
        let sent = clock::now();
        let grant = |opened_at| self.grant(run, opened_at, is_unverified);
        let exchange = self.worker.start(launch, RESPONSE_TIMEOUT, grant);
        tokio::pin!(exchange);
        let answer = tokio::select! {
            answer = &mut exchange => answer,
            () = sleep(self.allowance()) => {
                self.term.engine().record_late_answer(run, clock::now());
                self.signals.unverified.notify_one();
                exchange.await
            }
        }?;
        if answer.0 == Reply::Unknown {
            self.term.answer_time().record_missing(clock::now());
        } else {
            let took = clock::now().since(sent);
            self.term.answer_time().record(took);
        }
        Some(answer)
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
