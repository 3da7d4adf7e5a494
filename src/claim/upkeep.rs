//! Work of a manager besides the requests.

use std::time::Duration;

use tokio::time::sleep;

use super::{Claim, Manager, Stamp, State, Sweep};
use crate::platform::{Condition, Write};

/// Pause between two looks at the orphans.
const TICK: Duration = Duration::from_secs(1);

/// Ticks between two steps of the sweep.
const SWEEP_TICKS: u64 = 10;

/// Claims that [`Manager::release_orphans`] handles in one step.
const ORPHANS_PER_STEP: usize = 16;

/// Time after which a write that was not seen to take effect is taken to be gone.
const LATE_EFFECT: Duration = Duration::from_secs(60);

impl Manager {
    /// Releases orphans and sweeps with the time of day until dropped.
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
        // Spreads the instances, which may have started together.
        sleep(Duration::from_millis(self.owner.incarnation % 10_000)).await;
        for tick in 0u64.. {
            self.release_orphans(Stamp::now()).await;
            if tick % SWEEP_TICKS == 0
                && let Err(error) = sweep.step(Stamp::now()).await
            {
                log::warn!("claim=sweep {error}");
            }
            sleep(TICK).await;
        }
    }

    /// Releases some claims that took effect after their request had been refused.
    ///
    /// One step costs at most 16 reads and 16 rows in shared transactions. Returns how many remain.
    ///
    /// ```
    /// use coriandernotch::claim::{Manager, Owner, Settings, Stamp};
    /// use coriandernotch::standin::Store;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let owner = Owner { instance: "e1".into(), incarnation: 1 };
    /// let manager = Manager::start(Store::new().platform("e1").table, owner, Settings::share(100.0, 1));
    /// assert_eq!(manager.release_orphans(Stamp(0)).await, 0);
    /// # });
    /// ```
    pub async fn release_orphans(&self, now: Stamp) -> usize {
        let some = self.orphans().oldest(ORPHANS_PER_STEP);
        let steps = some.into_iter().map(|(operation, row, added)| async move {
            if self.release_orphan(operation, &row, added, now).await {
                self.orphans().remove(operation);
            }
        });
        futures_util::future::join_all(steps).await;
        self.orphans().len()
    }

    /// Returns whether nothing remains to do for the claim.
    async fn release_orphan(&self, operation: u64, row: &str, added: Stamp, now: Stamp) -> bool {
        let Ok(row) = self.read(row).await else {
            return false;
        };
        let Some(row) = row else {
            return now.since(added) >= LATE_EFFECT;
        };
        let Ok(claim) = serde_json::from_str::<Claim>(&row.value) else {
            return true;
        };
        let ours = claim.owner == self.owner && claim.operation == operation;
        if !ours {
            // A write on the present version of the row may still be under way.
            return now.since(added) >= LATE_EFFECT;
        }
        if claim.state != State::Started {
            return true;
        }
        let text = self.text(operation, claim.digest, State::Released, now);
        let write = Write::put(&row.key, Condition::Version(row.version), &text);
        self.queue.submit(write).await.is_ok()
    }
}
