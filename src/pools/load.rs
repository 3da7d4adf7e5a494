use std::sync::Arc;

use super::{Assignment, Cover, Ledger, State, Tenure};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::{PoolId, Registry, Snapshot};
use crate::platform::{self, Error, Row, Table};

/// Rows of one scan.
const PAGE: usize = 1000;

/// Reads the state from the table, or `None` when it changed while it was read.
///
/// Pool rows are read before instance rows. Every change of an instance also writes the row of
/// its pool, so while the version of a pool row stands, the instance rows read after it are
/// those on which a conditional write decides.
///
/// # Errors
///
/// Returns the error of the table.
///
/// ```
/// use coriandernotch::clock::Instant;
/// use coriandernotch::fleet::{Registry, Snapshot};
/// use coriandernotch::pools::{Tenure, load};
/// use coriandernotch::standin::Store;
///
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// let table = Store::new().client("a");
/// let (now, snapshot) = (Instant::default(), Snapshot::default());
/// let state = load(&table, now, &Tenure::new(1), &snapshot, &mut Registry::default(), &[]).await;
/// assert!(state.unwrap().is_some());
/// # });
/// ```
pub async fn load(
    table: &dyn Table,
    now: Instant,
    tenure: &Tenure,
    snapshot: &Snapshot,
    registry: &mut Registry,
    listing: &[platform::Instance],
) -> Result<Option<State>, Error> {
    let ledgers = scan(table, Ledger::PREFIX).await?;
    let assignments = scan(table, Assignment::PREFIX).await?;
    Ok(
        State::build(now, tenure, snapshot, registry, listing).merge(
            now,
            registry,
            &ledgers,
            &assignments,
        ),
    )
}

async fn scan(table: &dyn Table, prefix: &str) -> Result<Vec<Row>, Error> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or_else(|| "".into(), |row| row.key.clone());
        let page = table.scan(prefix.into(), after, PAGE).await?;
        let last = page.len() < PAGE;
        rows.extend(page);
        if last {
            return Ok(rows);
        }
    }
}

impl State {
    /// Puts the rows over what the document says.
    fn merge(
        mut self,
        now: Instant,
        registry: &mut Registry,
        ledgers: &[Row],
        assignments: &[Row],
    ) -> Option<Self> {
        for row in assignments {
            let name: Arc<str> = row.key.strip_prefix(Assignment::PREFIX)?.into();
            let assignment: Assignment = serde_json::from_str(&row.value).ok()?;
            self.put(now, &name, &assignment, row.version, registry);
        }
        let mut read: Map<PoolId, Ledger> = Map::default();
        for row in ledgers {
            let name: Arc<str> = row.key.strip_prefix(Ledger::PREFIX)?.into();
            let ledger: Ledger = serde_json::from_str(&row.value).ok()?;
            let id = self.intern_pool(&name, registry);
            let cover = ledger.cover.iter();
            let cover: Vec<(PoolId, Cover)> = cover
                .map(|(name, cover)| (self.intern_pool(name, registry), *cover))
                .collect();
            let pool = self.pool_mut(id);
            (pool.version, pool.token, pool.cover) = (row.version, ledger.token, cover);
            pool.cover.sort_by_key(|(pool, _)| *pool);
            read.insert(id, ledger);
        }
        // Rows of different moments disagree about the counts.
        let whole = self.pools().all(|(id, pool)| {
            let written = pool.members.iter().map(|m| self.instance(*m));
            let written: Vec<_> = written.filter(|i| i.version > 0).collect();
            let out = written.iter().filter(|i| i.phase.is_out()).count();
            let counts = (written.len() as u32, out as u32);
            counts == read.get(&id).map_or((0, 0), |l| (l.members, l.out))
        });
        whole.then_some(self)
    }
}
