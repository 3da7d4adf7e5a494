//! The state as the rows say.

use std::sync::Arc;

use super::{Assignment, Cover, Ledger, Rows, State};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::{PoolId, Registry};

impl State {
    /// Takes over since when instances are in their phases, so that time limits go on counting.
    ///
    /// ```
    /// use coriandernotch::pools::State;
    ///
    /// let mut state = State::example(1, 2);
    /// state.keep_times(&State::example(1, 2));
    /// ```
    pub fn keep_times(&mut self, older: &Self) {
        for instance in &mut self.instances {
            let known = older.instance_id(&instance.name);
            if let Some(known) = known.map(|id| older.instance(id))
                && known.phase == instance.phase
            {
                instance.since = known.since;
            }
        }
    }

    /// Puts rows over what the document and the list say.
    ///
    /// Returns `None` when the rows are of different moments; fetch them again then.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::Registry;
    /// use coriandernotch::pools::{Rows, State};
    ///
    /// let state = State::example(1, 2);
    /// let rows = Rows::default();
    /// assert!(state.read(Instant::default(), &mut Registry::default(), &rows).is_some());
    /// ```
    pub fn read(mut self, now: Instant, registry: &mut Registry, rows: &Rows) -> Option<Self> {
        for row in &rows.assignments {
            let name: Arc<str> = row.key.strip_prefix(Assignment::PREFIX)?.into();
            let assignment: Assignment = serde_json::from_str(&row.value).ok()?;
            self.put(now, &name, &assignment, row.version, registry);
        }
        let mut read: Map<PoolId, Ledger> = Map::default();
        for row in &rows.ledgers {
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
