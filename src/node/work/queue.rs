use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::holder::Holder;
use super::load::load;
use crate::clock::{self, Instant};
use crate::fleet::Digest;
use crate::jobs::{Shard, Tenure};
use crate::node::Shared;
use crate::peer::CANDIDATES;
use crate::platform::{Condition, Error, Write};

/// Term of the lease of a queue: takeover takes this and one look. A holder renews every second.
pub(super) const TERM: Duration = Duration::from_secs(3);

/// Time between two looks at the lease by those who do not hold it.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Wait per place in the order of candidates, so that the first takes a free queue.
const STEP: Duration = Duration::from_millis(800);

/// Time between two rounds of a holder without news.
const ROUND: Duration = Duration::from_millis(100);

/// Time for which a queue stays with a holder that is not a candidate, or not the first one while
/// the queue is idle.
const PATIENCE: Duration = Duration::from_secs(3);

/// Watches the lease of a queue, takes it when it is free, and serves it while it is held.
pub(super) async fn queue(shared: Arc<Shared>, name: Arc<str>) {
    let mut shard = Shard::new(identity(&shared), TERM, Duration::ZERO);
    let mut free_since: Option<Instant> = None;
    loop {
        if shared.pause(LOOK_EVERY).await || !exists(&shared, &name) {
            return;
        }
        let place = shared.hub.place(&name);
        if place >= CANDIDATES || !shared.is_ready(clock::now()) {
            free_since = None;
            continue;
        }
        let Ok((row, version)) = read(&shared, &name).await else {
            // The holder could not renew either, so its term counts anew after an outage.
            shard = Shard::new(identity(&shared), TERM, Duration::ZERO);
            free_since = None;
            continue;
        };
        let now = clock::now();
        shard.observe(row, now);
        let Some(wish) = shard.acquire(now) else {
            free_since = None;
            continue;
        };
        let since = *free_since.get_or_insert(now);
        if now.since(since) < STEP * u32::try_from(place).unwrap_or(u32::MAX) {
            continue;
        }
        free_since = None;
        let Some(version) = take(&shared, &name, wish, version).await else {
            continue;
        };
        shard.written(wish, now);
        log::info!(event = "queue-taken", queue = name, token = wish.token; "");
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
        shard = Shard::new(identity(&shared), TERM, Duration::ZERO);
    }
}

/// Serves a held queue until it is lost. Returns true when the instance stops.
async fn serve(mut holder: Holder, rows: Vec<crate::platform::Row>) -> bool {
    let (sender, mut news) = mpsc::unbounded_channel();
    let shared = holder.gate.shared.clone();
    let name = holder.gate.queue.clone();
    let sign = shared.hub.signals().sign(&name);
    let mut stop = shared.stop.subscribe();
    holder.begin(rows, sender, clock::now());
    let mut first_since = clock::now();
    let mut rounds = tokio::time::interval(ROUND);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let stops = tokio::select! {
            message = news.recv() => {
                if let Some((site, message)) = message {
                    holder.hear(&site, message, clock::now());
                }
                while let Ok((site, message)) = news.try_recv() {
                    holder.hear(&site, message, clock::now());
                }
                false
            }
            () = sign.notified() => { holder.rung = true; false }
            _ = rounds.tick() => false,
            _ = stop.wait_for(|stop| *stop) => true,
        };
        let now = clock::now();
        // News reach candidates only, so others give up even a busy queue; its runs go on.
        let place = shared.hub.place(&name);
        if place == 0 || (place < CANDIDATES && !holder.is_idle()) {
            first_since = now;
        }
        let leaves = stops || !exists(&shared, &name) || now.since(first_since) > PATIENCE;
        if leaves {
            holder.resign().await;
            return stops;
        }
        if !holder.round(now).await {
            holder.leave();
            return false;
        }
    }
}

/// Returns whether the configuration has the queue; unknown configuration changes nothing.
fn exists(shared: &Shared, name: &str) -> bool {
    let current = shared.control.current();
    current.is_none_or(|current| current.queue_id(name).is_some())
}

/// Number of this life of the instance that no other life of any instance has.
fn identity(shared: &Shared) -> u64 {
    let own = shared.control.own();
    let digest = Digest::of(format!("{} {}", own.name, own.incarnation).as_bytes());
    let digits = digest.to_string();
    u64::from_str_radix(&digits[..16], 16).map_or(1, |n| n.max(1))
}

pub(super) fn row_key(name: &str) -> Arc<str> {
    format!("shards/{name}").into()
}

/// Reads the lease of a queue and the version of its row, 0 when there is none.
pub(super) async fn read(shared: &Shared, name: &str) -> Result<(Tenure, u64), Error> {
    let row = shared.platform.table.read(row_key(name)).await?;
    Ok(row.map_or((Tenure::default(), 0), |row| {
        let tenure = serde_json::from_str(&row.value).unwrap_or_default();
        (tenure, row.version)
    }))
}

pub(super) fn make_write(name: &str, tenure: &Tenure, version: u64) -> Write {
    let condition = match version {
        0 => Condition::Absent,
        version => Condition::Version(version),
    };
    let value = serde_json::to_string(tenure).expect("a tenure has only numbers");
    Write::put(&row_key(name), condition, &value)
}

/// Writes the lease and returns the new version of the row, if this instance now holds it.
async fn take(shared: &Shared, name: &str, wish: Tenure, version: u64) -> Option<u64> {
    let write = make_write(name, &wish, version);
    match shared.platform.table.transact(vec![write]).await {
        Ok(versions) => versions.first().copied(),
        // An answer that was lost is read back; a later effect is seen at the next look.
        Err(Error::Unknown { .. }) => {
            let (row, version) = read(shared, name).await.ok()?;
            (row == wish).then_some(version)
        }
        Err(_) => None,
    }
}
