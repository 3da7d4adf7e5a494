//! Orphans and the sweep of expired claims.

use std::sync::Arc;
use std::time::Duration;

use coriandernotch::claim::{Claim, Sweep, Timestamp};
use coriandernotch::platform::{Answer, Row, Table, Write};
use coriandernotch::standin::{Fault, Kind, Store};
use futures_util::future::join_all;
use tokio::time::{sleep, timeout};

use super::fixture::{HOUR_MS, ask, manager, name};

/// Guards against a claim that is released although its request may run, and against a claim that is
/// never released although its request was not sent.
#[tokio::test(start_paused = true)]
async fn orphans_are_released() {
    let store = Store::new();
    let (a, b) = (manager(&store, "a", 1), manager(&store, "b", 1));
    // The caller disconnects while the write is in flight.
    store.faults().set_delay(Duration::from_millis(500));
    let disconnected = timeout(
        Duration::from_millis(100),
        a.claim(&ask("left"), Timestamp(0)),
    )
    .await;
    assert!(disconnected.is_err());
    // The answer to the write is lost, and the read that should find its effect is refused.
    store.faults().clear();
    sleep(Duration::from_secs(1)).await;
    store.faults().inject(Kind::Write, [Fault::Lose]);
    store.faults().inject(Kind::Read, [Fault::Refuse]);
    let lost = a.claim(&ask("lost"), Timestamp(0)).await;
    assert_eq!(name(&lost), "unavailable");
    let held = a.claim(&ask("held"), Timestamp(0)).await;
    assert_eq!(name(&held), "first");
    let repeat = async |key, now| name(&b.claim(&ask(key), Timestamp(now)).await);
    for key in ["left", "lost", "held"] {
        assert_eq!(repeat(key, 1).await, "running", "{key}");
    }
    while a.release_orphans(Timestamp(2)).await > 0 {}
    for (key, expected) in [("left", "first"), ("lost", "first"), ("held", "running")] {
        assert_eq!(repeat(key, 3).await, expected, "{key}");
    }
}

/// Guards against an orphan that is dropped before its delayed write takes effect.
#[tokio::test(start_paused = true)]
async fn orphan_with_delayed_write_is_released() {
    let store = Store::new();
    let (a, b) = (manager(&store, "a", 1), manager(&store, "b", 1));
    store.faults().set_delay(Duration::from_secs(5));
    let slow = a.claim(&ask("k"), Timestamp(0)).await;
    assert_eq!(name(&slow), "unavailable");
    store.faults().clear();
    assert_eq!(a.release_orphans(Timestamp(2000)).await, 1);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(name(&b.claim(&ask("k"), Timestamp(7000)).await), "running");
    assert_eq!(a.release_orphans(Timestamp(7000)).await, 0);
    assert_eq!(name(&b.claim(&ask("k"), Timestamp(7000)).await), "first");
}

/// Guards against a sweep that deletes an unexpired claim, exceeds its budget or does not finish.
#[tokio::test(start_paused = true)]
async fn sweep_deletes_only_expired_claims() {
    let store = Store::new();
    let a = manager(&store, "a", 1);
    let mut keys: Vec<_> = (0..400).map(|n| (ask(&format!("old{n}")), 0)).collect();
    keys.extend((0..60).map(|n| (ask(&format!("new{n}")), 20 * HOUR_MS)));
    join_all(keys.iter().map(|(k, at)| a.claim(k, Timestamp(*at)))).await;
    let sweeps = ["a", "b"].map(|n| Sweep::new(store.platform(n).table));
    let mut now = 26 * HOUR_MS;
    for second in 0..10 {
        let (reads, writes, rows) = (
            store.counters().get(Kind::Read).total,
            store.counters().get(Kind::Write).total,
            store.counters().rows().total,
        );
        // Two instances sweep at once: one of them gets a conflict and deletes nothing.
        let _ = join_all(sweeps.iter().map(|s| s.step(Timestamp(now)))).await;
        let reads = store.counters().get(Kind::Read).total - reads;
        let writes = store.counters().get(Kind::Write).total - writes;
        let rows = store.counters().rows().total - rows;
        assert!(reads <= 42 && writes <= 2 && rows <= 202, "second {second}");
        now += 1000;
    }
    assert_eq!(store.rows("claims/").len(), 60);
    let stored: Vec<Claim> = store
        .rows("claims/")
        .iter()
        .map(|row| serde_json::from_str(&row.value).unwrap())
        .collect();
    assert!(
        stored
            .iter()
            .all(|claim| claim.at == Timestamp(20 * HOUR_MS))
    );
}

/// Guards against a delayed sweep that deletes a new claim because its row has the same version as
/// the expired one.
#[tokio::test(start_paused = true)]
async fn delayed_sweep_deletes_no_new_claim() {
    let store = Store::new();
    let a = manager(&store, "a", 1);
    a.claim(&ask("k"), Timestamp(0)).await;
    // The transaction of this sweep is delayed after it has read the row.
    let delayed = Sweep::new(Arc::new(Delayed(store.platform("late").table)));
    let delayed = tokio::spawn(async move { delayed.step(Timestamp(30 * HOUR_MS)).await });
    sleep(Duration::from_millis(100)).await;
    let other = Sweep::new(store.platform("b").table);
    assert_eq!(other.step(Timestamp(30 * HOUR_MS)).await, Ok(1));
    let reclaimed = a.claim(&ask("k"), Timestamp(30 * HOUR_MS)).await;
    assert_eq!(name(&reclaimed), "first");
    assert!(delayed.await.unwrap().is_err());
    let repeat = a.claim(&ask("k"), Timestamp(30 * HOUR_MS + 1)).await;
    assert_eq!(name(&repeat), "running");
}

/// Table that delays transactions.
struct Delayed(Arc<dyn Table>);

impl Table for Delayed {
    fn transact(&self, writes: Vec<Write>) -> Answer<'_, Vec<u64>> {
        Box::pin(async move {
            sleep(Duration::from_secs(5)).await;
            self.0.transact(writes).await
        })
    }

    fn read(&self, key: Arc<str>) -> Answer<'_, Option<Row>> {
        self.0.read(key)
    }

    fn scan(&self, prefix: Arc<str>, after: Arc<str>, limit: usize) -> Answer<'_, Vec<Row>> {
        self.0.scan(prefix, after, limit)
    }
}
