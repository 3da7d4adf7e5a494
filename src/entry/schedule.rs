use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::shared::{Shared, unix_time_ms};
use super::signals::Signals;
use super::term::{Handle, Term};
use super::{advise, delete, follow_jobs, follow_workers, lag, maintenance, orders, poll};
use crate::batch::WorkerKey;
use crate::clock;
use crate::platform::api::Worker;

/// Maximum time between two scheduling rounds.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a round, so that events that occur together share one.
const BATCH_DELAY: Duration = Duration::from_millis(3);

/// Maximum time for which a slow round delays the next one.
const MAX_ROUND_DELAY: Duration = Duration::from_millis(500);

/// Spawns the tasks of a leader, apart from the one that stores its changes.
pub(super) fn spawn(shared: &Arc<Shared>, term: &Arc<Term>, tasks: &mut JoinSet<()>) {
    tasks.spawn(schedule(shared.clone(), term.clone()));
    tasks.spawn(follow_jobs::follow_jobs(shared.clone(), term.clone()));
    tasks.spawn(follow_workers::follow_workers(shared.clone(), term.clone()));
    tasks.spawn(delete::delete(shared.clone(), term.clone()));
    tasks.spawn(maintenance::maintain(shared.clone(), term.clone()));
    tasks.spawn(advise::advise(shared.clone(), term.clone()));
    tasks.spawn(lag::measure_lag(term.clone()));
}

/// Places waiting tasks on workers and dispatches the resulting orders, round after round.
async fn schedule(shared: Arc<Shared>, term: Arc<Term>) {
    let mut worker_tasks = JoinSet::new();
    let mut round_time = Duration::ZERO;
    loop {
        // With many waiting tasks a round takes long. Without a pause, rounds would leave no
        // processor time for the polls that show which workers have room again.
        tokio::time::sleep(round_time.min(MAX_ROUND_DELAY)).await;
        tokio::select! {
            () = term.placement_wake.notified() => tokio::time::sleep(BATCH_DELAY).await,
            () = tokio::time::sleep(MAX_ROUND_INTERVAL) => {}
        }
        while let Some(result) = worker_tasks.try_join_next() {
            if result.is_err_and(|error| error.is_panic()) {
                term.end("a task of a worker panicked");
            }
        }
        if !term.may_send_orders() {
            continue;
        }
        let (now, unix_time_ms) = (clock::now(), unix_time_ms());
        {
            let desired = shared.desired.lock().expect("desired lock").clone();
            let mut engine = term.engine();
            if let Some(config) = desired.config() {
                engine.set_config(&config);
            }
            if engine.has_unstored_queue_services() {
                term.renewal_wake.notify_one();
            }
            engine.set_excluded_data_centres(desired.excluded());
            engine.set_waves(desired.waves());
            engine.check_runs_and_workers(now);
            engine.place(now, unix_time_ms);
        }
        update_worker_tasks(&term, &mut worker_tasks);
        dispatch(&term);
        round_time = clock::now().since(now);
        if term.engine().has_changes_to_store().is_some() {
            term.flush_wake.notify_one();
        }
    }
}

/// Spawns the tasks for new workers and drops the handles of workers that are gone or have another
/// address now.
fn update_worker_tasks(term: &Arc<Term>, worker_tasks: &mut JoinSet<()>) {
    let mut handles = term.handles.lock().expect("handle lock");
    let new_workers = {
        let engine = term.engine();
        handles.retain(|key, handle| engine.address_of(*key) == Some(&handle.address));
        engine.addresses_of_others(|key| handles.contains_key(&key))
    };
    for (key, id, address) in new_workers {
        if let Some(handle) = spawn_worker_tasks(term, key, id, address, worker_tasks) {
            handles.insert(key, handle);
        }
    }
}

/// Spawns the tasks of one worker. Returns `None` if its address is invalid.
fn spawn_worker_tasks(
    term: &Arc<Term>,
    key: WorkerKey,
    id: Arc<str>,
    address: Arc<str>,
    worker_tasks: &mut JoinSet<()>,
) -> Option<Handle> {
    let socket_address: SocketAddr = address.parse().ok()?;
    log::debug!(event = "worker-added", worker = id, address; "");
    let worker = Arc::new(Worker::new(socket_address, id, term.token));
    let signals = Arc::new(Signals::default());
    let (sender, receiver) = mpsc::unbounded_channel();
    worker_tasks.spawn(poll::poll(
        term.clone(),
        key,
        worker.clone(),
        signals.clone(),
    ));
    worker_tasks.spawn(orders::send_orders(
        term.clone(),
        key,
        worker,
        signals.clone(),
        receiver,
    ));
    Some(Handle {
        orders: sender,
        address,
        signals,
    })
}

/// Passes the orders of the engine to the tasks of the workers.
pub(super) fn dispatch(term: &Term) {
    let orders = term.engine().take_orders();
    let handles = term.handles.lock().expect("handle lock");
    for (worker, order) in orders {
        // Orders for a worker that is gone are dropped: none of its runs is left.
        if let Some(handle) = handles.get(&worker) {
            let _ = handle.orders.send(order);
            handle.signals.due.notify_one();
        }
    }
}
