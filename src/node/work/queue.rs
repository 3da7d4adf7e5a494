use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::holder::Holder;
use super::lease;
use super::load::load;
use crate::clock::{self, Instant};
use crate::fleet::Digest;
use crate::jobs::Ownership;
use crate::node::Shared;
use crate::peer::CANDIDATES;

/// Time between two reads of the lease by instances that do not hold it. A takeover takes this and
/// one [`lease::TERM`].
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay per rank among the candidates, so that the first candidate takes a free queue.
const CANDIDATE_DELAY: Duration = Duration::from_millis(800);

/// Time between two rounds of a holder when no event or change signal arrives.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a holder gives the queue up because it is no longer a candidate, or is not the
/// first candidate and the queue is idle.
const HANDOVER_DELAY: Duration = Duration::from_secs(3);

/// Watches the lease of a queue, takes it when it is free, and serves it while it is held.
pub(super) async fn run(shared: Arc<Shared>, name: Arc<str>) {
    let mut shard = Ownership::new(holder_id(&shared), lease::TERM, Duration::ZERO);
    let mut free_since: Option<Instant> = None;
    loop {
        if shared.pause(CHECK_INTERVAL).await || !is_configured(&shared, &name) {
            return;
        }
        let rank = shared.hub.candidate_rank(&name);
        if rank >= CANDIDATES || !shared.is_ready(clock::now()) {
            free_since = None;
            continue;
        }
        let Ok((row, version)) = lease::read(&shared, &name).await else {
            // During an outage of the store the holder cannot renew either, so the full term counts
            // from the end of the outage.
            shard = Ownership::new(holder_id(&shared), lease::TERM, Duration::ZERO);
            free_since = None;
            continue;
        };
        let now = clock::now();
        shard.observe(row, now);
        let Some(proposed) = shard.acquire(now) else {
            free_since = None;
            continue;
        };
        let since = *free_since.get_or_insert(now);
        if now.since(since) < CANDIDATE_DELAY * u32::try_from(rank).unwrap_or(u32::MAX) {
            continue;
        }
        free_since = None;
        let Some(version) = lease::write(&shared, &name, proposed, version).await else {
            continue;
        };
        shard.write_succeeded(proposed, now);
        log::info!(event = "queue-taken", queue = name, token = proposed.token; "");
        match load(&shared, &name).await {
            Ok(rows) => {
                let holder = Holder::new(shared.clone(), name.clone(), shard, version);
                if serve(holder, rows).await {
                    return;
                }
            }
            Err(error) => {
                log::warn!(event = "queue-load-failed", queue = name, error:% = error; "");
            }
        }
        log::info!(event = "queue-left", queue = name; "");
        shard = Ownership::new(holder_id(&shared), lease::TERM, Duration::ZERO);
    }
}

/// Serves a held queue until it is lost. Returns true when the instance stops.
async fn serve(mut holder: Holder, rows: Vec<crate::platform::Row>) -> bool {
    let (sender, mut events) = mpsc::unbounded_channel();
    let shared = holder.gate.shared.clone();
    let name = holder.gate.queue.clone();
    let signal = shared.hub.signals().subscribe(&name);
    let mut stop = shared.stop.subscribe();
    holder.take_over(rows, sender, clock::now());
    let mut last_preferred = clock::now();
    let mut rounds = tokio::time::interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let stopping = tokio::select! {
            event = events.recv() => {
                if let Some((worker, event)) = event {
                    holder.handle_event(&worker, event, clock::now());
                }
                while let Ok((worker, event)) = events.try_recv() {
                    holder.handle_event(&worker, event, clock::now());
                }
                false
            }
            () = signal.notified() => { holder.may_have_changes = true; false }
            _ = rounds.tick() => false,
            _ = stop.wait_for(|stop| *stop) => true,
        };
        let now = clock::now();
        // Change signals are sent to candidates only, so a holder that is no candidate gives up
        // even a busy queue; its runs go on.
        let rank = shared.hub.candidate_rank(&name);
        if rank == 0 || (rank < CANDIDATES && !holder.is_idle()) {
            last_preferred = now;
        }
        let leaving = stopping
            || !is_configured(&shared, &name)
            || now.since(last_preferred) > HANDOVER_DELAY;
        if leaving {
            holder.resign().await;
            return stopping;
        }
        if !holder.round(now).await {
            holder.leave();
            return false;
        }
    }
}

/// Returns whether the configuration has the queue. Without a known configuration it is assumed
/// to have it.
fn is_configured(shared: &Shared, name: &str) -> bool {
    let current = shared.control.current();
    current.is_none_or(|current| current.queue_id(name).is_some())
}

/// Returns the holder id of this instance, different for each incarnation of each instance.
fn holder_id(shared: &Shared) -> u64 {
    let own = shared.control.own();
    let digest = Digest::of(format!("{} {}", own.name, own.incarnation).as_bytes());
    let digits = digest.to_string();
    u64::from_str_radix(&digits[..16], 16).map_or(1, |n| n.max(1))
}
