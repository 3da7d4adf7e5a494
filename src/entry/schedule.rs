use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;

use super::shared::{Shared, wall_ms};
use super::term::{Site, Term};
use super::{advise, flush, follow_jobs, follow_workers, looks, orders, upkeep};
use crate::batch::WorkerKey;
use crate::clock;
use crate::platform::api::Executor;

/// Longest time between two rounds.
const ROUND_EVERY: Duration = Duration::from_millis(100);

/// Pause before a round, so that events that come together take one.
const GATHER: Duration = Duration::from_millis(3);

/// Starts the tasks of a leader.
pub(super) fn spawn(shared: &Arc<Shared>, term: &Arc<Term>, tasks: &mut JoinSet<()>) {
    tasks.spawn(schedule(shared.clone(), term.clone()));
    tasks.spawn(follow_jobs::follow_jobs(shared.clone(), term.clone()));
    tasks.spawn(follow_workers::follow_workers(shared.clone(), term.clone()));
    tasks.spawn(flush::flush(shared.clone(), term.clone()));
    tasks.spawn(upkeep::maintain(shared.clone(), term.clone()));
    tasks.spawn(advise::advise(shared.clone(), term.clone()));
}

/// Places what waits, and hands orders to the tasks of the workers.
async fn schedule(shared: Arc<Shared>, term: Arc<Term>) {
    let mut workers = JoinSet::new();
    loop {
        tokio::select! {
            () = term.placeable.notified() => tokio::time::sleep(GATHER).await,
            () = tokio::time::sleep(ROUND_EVERY) => {}
        }
        while workers.try_join_next().is_some() {}
        if !term.may_act() {
            continue;
        }
        let (now, wall_ms) = (clock::now(), wall_ms());
        {
            let desired = shared.desired.lock().expect("desired lock").clone();
            let mut engine = term.engine();
            if let Some(config) = desired.config() {
                engine.set_config(&config);
            }
            engine.set_out(desired.out());
            engine.set_waves(desired.waves());
            engine.review(now);
            engine.place(now, wall_ms);
        }
        follow_sites(&term, &mut workers);
        dispatch(&term);
        if term.engine().unstored().is_some() {
            term.storable.notify_one();
        }
    }
}

/// Starts the tasks of new workers and forgets those that are gone.
fn follow_sites(term: &Arc<Term>, workers: &mut JoinSet<()>) {
    let addresses = term.engine().worker_addresses();
    let mut sites = term.sites.lock().expect("sites lock");
    sites.retain(|key, _| addresses.iter().any(|(known, ..)| known == key));
    for (key, id, address) in addresses {
        if sites.contains_key(&key) {
            continue;
        }
        let Ok(address) = address.parse::<SocketAddr>() else {
            continue;
        };
        sites.insert(key, open(term, key, id, address, workers));
    }
}

fn open(
    term: &Arc<Term>,
    key: WorkerKey,
    id: Arc<str>,
    address: SocketAddr,
    workers: &mut JoinSet<()>,
) -> Site {
    log::debug!(event = "worker-added", worker = id, address:% = address; "");
    let executor = Arc::new(Executor::new(address, id, term.token));
    let wake = Arc::new(Notify::new());
    let (sender, receiver) = mpsc::unbounded_channel();
    workers.spawn(looks::look(
        term.clone(),
        key,
        executor.clone(),
        wake.clone(),
    ));
    workers.spawn(orders::carry_out(term.clone(), key, executor, receiver));
    Site {
        orders: sender,
        wake,
    }
}

fn dispatch(term: &Term) {
    let orders = term.engine().take_orders();
    let sites = term.sites.lock().expect("sites lock");
    for (worker, order) in orders {
        // A worker that is gone has no runs that an order could concern.
        if let Some(site) = sites.get(&worker) {
            let _ = site.orders.send(order);
            site.wake.notify_one();
        }
    }
}
