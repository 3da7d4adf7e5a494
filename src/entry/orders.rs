use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;

use super::term::Term;
use crate::batch::{Order, Reply, RunKey, TaskId, WorkerKey};
use crate::clock;
use crate::platform::api::Executor;

/// Time that the response to an order may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of attempts to stop a run; after them the engine decides again.
const STOP_ATTEMPTS: usize = 3;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Sends the orders for one worker, one after another.
pub(super) async fn send_orders(
    term: Arc<Term>,
    key: WorkerKey,
    executor: Arc<Executor>,
    mut orders: UnboundedReceiver<Order>,
) {
    while let Some(order) = orders.recv().await {
        match order {
            Order::Start(run) => start_run(&term, key, &executor, run).await,
            Order::Stop { task, number } => stop_run(&term, key, &executor, &task, number).await,
            Order::Pace {
                task,
                number,
                percent,
            } => {
                let result = executor
                    .pace(&task, number, percent, RESPONSE_TIMEOUT)
                    .await;
                if let Err(fault) = result {
                    log::debug!(event = "pace-failed", fault:% = fault; "");
                }
            }
        }
    }
}

async fn start_run(term: &Term, key: WorkerKey, executor: &Executor, run: RunKey) {
    let (launch, deadline) = {
        let mut engine = term.engine();
        let now = clock::now();
        let launch = engine.launch(run).filter(|_| term.may_send_orders());
        let deadline = launch.is_some().then(|| engine.grant(key, now)).flatten();
        (launch, deadline)
    };
    let (Some(launch), Some(deadline)) = (launch, deadline) else {
        term.engine().unsent(run, clock::now());
        term.placement_wake.notify_one();
        return;
    };
    let answer_age = term.engine().heard(key, clock::now());
    let (reply, clock_ms) = executor.start(&launch, deadline, RESPONSE_TIMEOUT).await;
    let now = clock::now();
    log::info!(event = "task-started", job = launch.task.job, step = launch.task.step,
        index = launch.task.index, run = launch.number, worker = executor.id(), token = term.token,
        heard_ms = answer_age.as_millis(), reply:? = reply; "");
    term.engine().started(run, &reply, clock_ms, now);
    if reply == Reply::Fenced {
        term.end("a worker knows a newer leader");
    }
    if reply != Reply::Started {
        term.placement_wake.notify_one();
    }
}

async fn stop_run(term: &Term, key: WorkerKey, executor: &Executor, task: &TaskId, number: u64) {
    for _ in 0..STOP_ATTEMPTS {
        if !term.may_send_orders() {
            return;
        }
        match executor.stop(task, number, RESPONSE_TIMEOUT).await {
            Ok(_) => {
                term.engine().stopped(key, task, number, clock::now());
                return;
            }
            Err(fault) => {
                log::debug!(event = "stop-failed", fault:% = fault; "");
                term.engine().missed(key);
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
