use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Claim, DEDUP_WINDOW, Timestamp};
use crate::platform::{Condition, Error, Row, Table, Write};

/// Key of the row that holds the progress of the sweep and serializes the steps of all instances.
const CURSOR_KEY: &str = "claims-sweep";

/// Prefix of the keys of claim rows.
const CLAIM_PREFIX: &str = "claims/";

/// Rows per scan; 48 rows of the largest size stay below the client's limit of 16 MiB.
const PAGE_ROWS: usize = 48;

/// Largest number of scans in one step.
const MAX_PAGES: usize = 20;

/// Largest number of rows deleted in one step.
const MAX_DELETES: usize = 100;

/// Time for which a claim is kept beyond the deduplication window, for instances with a slow clock
/// that still rely on it.
const CLOCK_MARGIN: Duration = Duration::from_secs(3600);

/// Pause between two steps of a pass, whichever instances do them.
const STEP_PAUSE: Duration = Duration::from_secs(1);

/// Pause after a pass over all claims.
const PASS_PAUSE: Duration = Duration::from_secs(600);

/// Progress of the sweep, shared by all instances: the last key examined and the time of the next step.
#[derive(Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Cursor {
    after: String,
    next: Timestamp,
}

/// Deletes expired claims.
///
/// Each step writes the row `claims-sweep` in the transaction that deletes the claims, under the
/// condition that no other step was done since the claims were read. A claim row is thus never deleted
/// because of an outdated read, even where the versions of a row restart after its deletion.
pub struct Sweep {
    table: Arc<dyn Table>,
}

impl Sweep {
    /// Creates a sweep over the claims in `table`.
    ///
    /// ```
    /// use coriandernotch::claim::Sweep;
    ///
    /// Sweep::new(coriandernotch::standin::Store::new().platform("e1").table);
    /// ```
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// Does one step if the pause since the last step of any instance is over; returns the number of
    /// deleted rows.
    ///
    /// A step takes at most 21 reads and one transaction of 101 rows. After an error the next step
    /// starts from the stored progress.
    ///
    /// ```
    /// use coriandernotch::claim::{Timestamp, Sweep};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let sweep = Sweep::new(coriandernotch::standin::Store::new().platform("e1").table);
    /// assert_eq!(sweep.step(Timestamp::now()).await, Ok(0));
    /// # });
    /// ```
    pub async fn step(&self, now: Timestamp) -> Result<usize, Error> {
        let row = self.table.read(CURSOR_KEY.into()).await?;
        // Stored progress that cannot be parsed is replaced: the pass starts again.
        let stored = row
            .as_ref()
            .and_then(|r| serde_json::from_str(&r.value).ok());
        let mut cursor: Cursor = stored.unwrap_or_default();
        // A time further ahead than the longest pause comes from a wrong clock and must not stop the
        // sweep.
        if cursor.next > now && cursor.next.since(now) <= PASS_PAUSE {
            return Ok(0);
        }
        let condition = row.map_or(Condition::Absent, |r| Condition::Version(r.version));
        let (deletes, after) = self.find_expired(cursor.after, now).await?;
        let pause = if after.is_empty() {
            PASS_PAUSE
        } else {
            STEP_PAUSE
        };
        let pause = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        cursor = Cursor {
            after,
            next: Timestamp(now.0.saturating_add(pause)),
        };
        let text = serde_json::to_string(&cursor).expect("a sweep cursor is always serializable");
        let count = deletes.len();
        let mut writes = vec![Write::put(CURSOR_KEY, condition, &text)];
        writes.extend(deletes);
        self.table.transact(writes).await?;
        Ok(count)
    }

    /// Returns deletions of the expired claims after the key `after`, and the last key examined, or an
    /// empty string at the end of the claims.
    async fn find_expired(
        &self,
        mut after: String,
        now: Timestamp,
    ) -> Result<(Vec<Write>, String), Error> {
        let mut deletes = Vec::new();
        for _ in 0..MAX_PAGES {
            let page = self
                .table
                .scan(CLAIM_PREFIX.into(), after.as_str().into(), PAGE_ROWS)
                .await?;
            let is_last = page.len() < PAGE_ROWS;
            for row in &page {
                if is_expired(row, now) {
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

fn is_expired(row: &Row, now: Timestamp) -> bool {
    match serde_json::from_str::<Claim>(&row.value) {
        Ok(claim) => now.since(claim.at) >= DEDUP_WINDOW + CLOCK_MARGIN,
        Err(error) => {
            log::warn!("claim=sweep step=parse row={:?} error={error:?}", row.key);
            false
        }
    }
}
