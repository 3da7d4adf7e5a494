use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Claim, Stamp, WINDOW};
use crate::platform::{Condition, Error, Row, Table, Write};

/// Row that orders the sweeps of all instances.
const ROW: &str = "claims-sweep";

/// What the keys of claims start with.
const PREFIX: &str = "claims/";

/// Rows of one scan; 48 rows of the largest size stay below the client's limit of 16 MiB.
const PAGE: usize = 48;

/// Scans of one step.
const MAX_PAGES: usize = 20;

/// Rows deleted in one step.
const MAX_DELETES: usize = 100;

/// Added to the window so that no instance with a slow clock still counts on a deleted claim.
const MARGIN: Duration = Duration::from_secs(3600);

/// Pause between the steps of a pass, for all instances together.
const STEP: Duration = Duration::from_secs(1);

/// Pause after a pass over all claims.
const REST: Duration = Duration::from_secs(600);

/// Place that the sweeps have reached.
#[derive(Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Place {
    after: String,
    next: Stamp,
}

/// Deletes claims whose window is over.
///
/// Each step writes the row `claims-sweep` in the transaction that deletes, under the condition
/// that no other sweep came between. So a claim row is never deleted on the ground of an older
/// look at it, even where versions restart after a deletion.
pub struct Sweep {
    table: Arc<dyn Table>,
}

impl Sweep {
    /// Makes a sweep over the claims in `table`.
    ///
    /// ```
    /// use coriandernotch::claim::Sweep;
    ///
    /// Sweep::new(coriandernotch::standin::Store::new().platform("e1").table);
    /// ```
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// Does one step unless another instance did one just before; returns how many rows it deleted.
    ///
    /// A step costs at most 21 reads and one transaction of 101 rows. After an error the next step
    /// starts from the stored place.
    ///
    /// ```
    /// use coriandernotch::claim::{Stamp, Sweep};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let sweep = Sweep::new(coriandernotch::standin::Store::new().platform("e1").table);
    /// assert_eq!(sweep.step(Stamp::now()).await, Ok(0));
    /// # });
    /// ```
    pub async fn step(&self, now: Stamp) -> Result<usize, Error> {
        let row = self.table.read(ROW.into()).await?;
        // A place that cannot be read is replaced by the start.
        let stored = row
            .as_ref()
            .and_then(|r| serde_json::from_str(&r.value).ok());
        let mut place: Place = stored.unwrap_or_default();
        // A time far ahead comes from a wrong clock and must not stop the sweeps.
        if place.next > now && place.next.since(now) <= REST {
            return Ok(0);
        }
        let condition = row.map_or(Condition::Absent, |r| Condition::Version(r.version));
        let (deletes, after) = self.collect(place.after, now).await?;
        let pause = if after.is_empty() { REST } else { STEP };
        let pause = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        place = Place {
            after,
            next: Stamp(now.0.saturating_add(pause)),
        };
        let text = serde_json::to_string(&place).expect("places serialize");
        let count = deletes.len();
        let mut writes = vec![Write::put(ROW, condition, &text)];
        writes.extend(deletes);
        self.table.transact(writes).await?;
        Ok(count)
    }

    /// Returns deletions of what is over after the key `after`, and the last key looked at or an
    /// empty text at the end of the claims.
    async fn collect(&self, mut after: String, now: Stamp) -> Result<(Vec<Write>, String), Error> {
        let mut deletes = Vec::new();
        for _ in 0..MAX_PAGES {
            let page = self
                .table
                .scan(PREFIX.into(), after.as_str().into(), PAGE)
                .await?;
            let is_last = page.len() < PAGE;
            for row in &page {
                if is_over(row, now) {
                    let condition = Condition::Version(row.version);
                    deletes.push(Write::delete(&row.key, condition));
                }
                after = row.key.to_string();
                if deletes.len() == MAX_DELETES {
                    return Ok((deletes, after));
                }
            }
            if is_last {
                return Ok((deletes, String::new()));
            }
        }
        Ok((deletes, after))
    }
}

fn is_over(row: &Row, now: Stamp) -> bool {
    match serde_json::from_str::<Claim>(&row.value) {
        Ok(claim) => now.since(claim.at) >= WINDOW + MARGIN,
        Err(error) => {
            log::warn!("claim=sweep step=parse row={:?} error={error:?}", row.key);
            false
        }
    }
}
