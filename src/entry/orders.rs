use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;

use super::term::Term;
use crate::batch::{Order, Reply, RunKey, TaskId, WorkerKey};
use crate::clock;
use crate::platform::api::Worker;

/// Time that the response to an order may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a start order waits for an answer of its worker.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of attempts to stop a run; after them the engine decides again.
const STOP_ATTEMPTS: usize = 3;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Sends the orders for one worker, one after another.
pub(super) async fn send_orders(
    term: Arc<Term>,
    key: WorkerKey,
    worker: Arc<Worker>,
    answer_wake: Arc<Notify>,
    mut orders: UnboundedReceiver<Order>,
) {
    while let Some(order) = orders.recv().await {
        match order {
            Order::Start(run) => {
                await_answer(&term, key, &answer_wake).await;
                start_run(&term, key, &worker, run).await;
            }
            Order::Stop { task, number } => stop_run(&term, key, &worker, &task, number).await,
            Order::Pace {
                task,
                number,
                percent,
            } => {
                let result = worker
                    .limit_speed(&task, number, percent, RESPONSE_TIMEOUT)
                    .await;
                if let Err(fault) = result {
                    log::debug!(event = "speed-change-failed", fault:% = fault; "");
                }
            }
        }
    }
}

/// Waits for the answer of a worker to a poll, if tasks may not be started on it before.
async fn await_answer(term: &Term, key: WorkerKey, answer_wake: &Notify) {
    let timeout = tokio::time::sleep(ANSWER_TIMEOUT);
    tokio::pin!(timeout);
    while term.may_send_orders() && term.engine().must_answer_before_start(key, clock::now()) {
        tokio::select! {
            () = answer_wake.notified() => {}
            () = &mut timeout => return,
        }
    }
}

async fn start_run(term: &Term, key: WorkerKey, worker: &Worker, run: RunKey) {
    let (launch, deadline) = {
        let mut engine = term.engine();
        let now = clock::now();
        let launch = engine.launch(run, now).filter(|_| term.may_send_orders());
        let deadline = launch
            .is_some()
            .then(|| engine.grant_lease(key, now))
            .flatten();
        (launch, deadline)
    };
    let (Some(launch), Some(deadline)) = (launch, deadline) else {
        term.engine().record_start_not_sent(run, clock::now());
        term.placement_wake.notify_one();
        return;
    };
    let answer_age = term.engine().time_since_answer(key, clock::now());
    let (reply, clock_ms) = worker.start(&launch, deadline, RESPONSE_TIMEOUT).await;
    let now = clock::now();
    log::info!(event = "task-started", job = launch.task.job, step = launch.task.step,
        index = launch.task.index, run = launch.number, worker = worker.id(), token = term.token,
        heard_ms = answer_age.as_millis(), reply:? = reply; "");
    term.engine()
        .record_start_outcome(run, &reply, clock_ms, now);
    if reply == Reply::Fenced {
        term.end("a worker knows a newer leader");
    }
    if reply != Reply::Started {
        term.placement_wake.notify_one();
    }
}

async fn stop_run(term: &Term, key: WorkerKey, worker: &Worker, task: &TaskId, number: u64) {
    for _ in 0..STOP_ATTEMPTS {
        if !term.may_send_orders() {
            return;
        }
        match worker.stop(task, number, RESPONSE_TIMEOUT).await {
            Ok(_) => {
                term.engine()
                    .record_stop_confirmation(key, task, number, clock::now());
                return;
            }
            Err(fault) => {
                log::debug!(event = "stop-failed", fault:% = fault; "");
                term.engine().record_no_answer(key);
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
