//! Builds the state from stored rows.

use std::sync::Arc;

use super::{Assignment, Rows, Shortfall, State, Summary};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::{PoolId, Registry};

impl State {
    /// Copies the start times of unchanged phases from an older state, so that time limits keep
    /// running.
    ///
    /// ```
    /// use coriandernotch::pools::State;
    ///
    /// let mut state = State::example(1, 2);
    /// state.copy_phase_times(&State::example(1, 2));
    /// ```
    pub fn copy_phase_times(&mut self, older: &Self) {
        for instance in &mut self.instances {
            let known = older.instance_id(&instance.name);
            if let Some(known) = known.map(|id| older.instance(id))
                && known.phase == instance.phase
            {
                instance.since = known.since;
            }
        }
    }

    /// Applies rows to the state that was built from the document and the platform's list.
    ///
    /// Returns `None` if a row is invalid or the rows come from different points in time; fetch
    /// them again in that case.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::Registry;
    /// use coriandernotch::pools::{Rows, State};
    ///
    /// let state = State::example(1, 2);
    /// let rows = Rows::default();
    /// assert!(state.with_rows(Instant::default(), &mut Registry::default(), &rows).is_some());
    /// ```
    pub fn with_rows(mut self, now: Instant, registry: &mut Registry, rows: &Rows) -> Option<Self> {
        for row in &rows.assignments {
            let name: Arc<str> = row.key.strip_prefix(Assignment::PREFIX)?.into();
            let assignment: Assignment = serde_json::from_str(&row.value).ok()?;
            self.put_instance(now, &name, &assignment, row.version, registry);
        }
        let mut summaries: Map<PoolId, Summary> = Map::default();
        for row in &rows.ledgers {
            let name: Arc<str> = row.key.strip_prefix(Summary::PREFIX)?.into();
            let summary: Summary = serde_json::from_str(&row.value).ok()?;
            let id = self.intern_pool(&name, registry);
            let shortfalls = summary.cover.iter();
            let shortfalls: Vec<(PoolId, Shortfall)> = shortfalls
                .map(|(name, shortfall)| (self.intern_pool(name, registry), *shortfall))
                .collect();
            let pool = self.pool_mut(id);
            (pool.version, pool.token, pool.shortfalls) = (row.version, summary.token, shortfalls);
            pool.shortfalls.sort_by_key(|(pool, _)| *pool);
            summaries.insert(id, summary);
        }
        // Rows from different points in time disagree on the counts.
        let is_consistent = self.pools().all(|(id, pool)| {
            let with_row = pool.members.iter().map(|m| self.instance(*m));
            let with_row: Vec<_> = with_row.filter(|i| i.version > 0).collect();
            let not_serving = with_row.iter().filter(|i| i.phase.is_unavailable()).count();
            let counts = (with_row.len() as u32, not_serving as u32);
            counts == summaries.get(&id).map_or((0, 0), |l| (l.members, l.out))
        });
        is_consistent.then_some(self)
    }
}
