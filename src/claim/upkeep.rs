//! Periodic background work of a manager.

use std::time::Duration;

use tokio::time::sleep;

use super::{Claim, Manager, State, Sweep, Timestamp};
use crate::platform::{Condition, Write};

/// Pause between two attempts to release orphans.
const TICK: Duration = Duration::from_secs(1);

/// Ticks from one step of the sweep to the next.
const TICKS_PER_SWEEP: u64 = 10;

/// Largest number of orphans that [`Manager::release_orphans`] handles at a time.
const ORPHANS_PER_STEP: usize = 16;

/// Time after which a write that has not taken effect is assumed to have been lost.
const LATE_WRITE_TIMEOUT: Duration = Duration::from_secs(60);

impl Manager {
    /// Releases orphans and deletes expired claims periodically until the future is dropped.
    ///
    /// ```
    /// use coriandernotch::claim::{Manager, Owner, Settings};
    /// use coriandernotch::standin::Store;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let owner = Owner { instance: "e1".into(), incarnation: 1 };
    /// let manager = Manager::start(Store::new().platform("e1").table, owner, Settings::share(100.0, 1));
    /// drop(manager.upkeep());
    /// # });
    /// ```
    pub async fn upkeep(&self) {
        let sweep = Sweep::new(self.table.clone());
        // Spreads the load of instances that were started together.
        sleep(Duration::from_millis(self.owner.incarnation % 10_000)).await;
        for tick in 0u64.. {
            self.release_orphans(Timestamp::now()).await;
            if tick % TICKS_PER_SWEEP == 0
                && let Err(error) = sweep.step(Timestamp::now()).await
            {
                log::warn!("claim=sweep {error}");
            }
            sleep(TICK).await;
        }
    }

    /// Releases some of the claims that may have been stored although their request was not sent.
    ///
    /// It takes at most 16 reads and 16 rows of shared transactions. Returns the number of orphans
    /// left.
    ///
    /// ```
    /// use coriandernotch::claim::{Manager, Owner, Settings, Timestamp};
    /// use coriandernotch::standin::Store;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let owner = Owner { instance: "e1".into(), incarnation: 1 };
    /// let manager = Manager::start(Store::new().platform("e1").table, owner, Settings::share(100.0, 1));
    /// assert_eq!(manager.release_orphans(Timestamp(0)).await, 0);
    /// # });
    /// ```
    pub async fn release_orphans(&self, now: Timestamp) -> usize {
        let oldest = self.orphans().oldest(ORPHANS_PER_STEP);
        let releases = oldest
            .into_iter()
            .map(|(operation, row_key, added)| async move {
                if self.release_orphan(operation, &row_key, added, now).await {
                    self.orphans().remove(operation);
                }
            });
        futures_util::future::join_all(releases).await;
        self.orphans().len()
    }

    /// Releases the claim if it is stored; returns whether the orphan is settled.
    async fn release_orphan(
        &self,
        operation: u64,
        row_key: &str,
        added: Timestamp,
        now: Timestamp,
    ) -> bool {
        let Ok(row) = self.read(row_key).await else {
            return false;
        };
        let Some(row) = row else {
            return now.since(added) >= LATE_WRITE_TIMEOUT;
        };
        let Ok(claim) = serde_json::from_str::<Claim>(&row.value) else {
            return true;
        };
        let is_own = claim.owner == self.owner && claim.operation == operation;
        if !is_own {
            // A write with the current version of the row as its condition may still be in flight.
            return now.since(added) >= LATE_WRITE_TIMEOUT;
        }
        if claim.state != State::Started {
            return true;
        }
        let text = self.claim_json(operation, claim.digest, State::Released, now);
        let write = Write::put(&row.key, Condition::Version(row.version), &text);
        self.queue.submit(write).await.is_ok()
    }
}
