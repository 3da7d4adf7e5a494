//! Creates changes from steps and applies them to the state.

use std::sync::Arc;

use super::{Assignment, Change, InstanceId, Pool, Refusal, State, Step, Summary, Tally};
use crate::clock::Instant;
use crate::fleet::PoolId;
use crate::platform::{Condition, Write};

impl State {
    /// Turns steps into one transaction, if the budgets allow them together.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the steps break.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::pools::{Action, InstanceId, Phase, Purpose, State, Step};
    ///
    /// let mut state = State::example(1, 2);
    /// let step = Step::new(InstanceId(0), Action::Drain(Purpose::Reboot));
    /// let change = state.draft(&[step]).unwrap();
    /// assert_eq!(change.writes.len(), 2);
    /// state.apply(Instant::default(), &change);
    /// assert_eq!(state.instance(InstanceId(0)).phase, Phase::Draining);
    /// ```
    pub fn draft(&self, steps: &[Step]) -> Result<Change, Refusal> {
        let draft = self.try_steps(steps)?;
        let operation = self.tenure.next_operation();
        let mut writes = Vec::with_capacity(draft.instances.len() + draft.pools.len());
        for (_, after) in &draft.instances {
            let row = self.assignment(after, operation);
            writes.push(conditional_put(
                &Assignment::key(&after.name),
                after.version,
                &row,
            ));
        }
        for id in &draft.pools {
            let mut pool = self.pool(*id).ok_or(Refusal::Pool)?.clone();
            if let (true, Some(shortfalls)) = (pool.spare, &draft.shortfalls) {
                pool.shortfalls.clone_from(shortfalls);
            }
            for (instance, after) in &draft.instances {
                pool.members.retain(|m| m != instance);
                if after.pool == *id {
                    pool.members.push(*instance);
                }
            }
            let after_change = |m: &InstanceId| {
                let changed = draft.instances.iter().find(|(i, _)| i == m);
                changed.map_or(self.instance(*m), |(_, after)| after)
            };
            // Readers compare the counts with the instance rows, so instances without a row are
            // left out.
            let has_row = |m: &&InstanceId| {
                self.instance(**m).version > 0 || draft.instances.iter().any(|(i, _)| i == *m)
            };
            let tally = Tally::of(pool.members.iter().filter(has_row).map(after_change));
            let row = self.ledger(&pool, &tally, operation);
            writes.push(conditional_put(
                &Summary::key(&pool.name),
                pool.version,
                &row,
            ));
        }
        Ok(Change {
            operation,
            probe_key: first_key(&writes),
            writes,
            instances: draft.instances,
            pools: draft.pools,
            shortfalls: draft.shortfalls,
        })
    }

    /// Lists the transactions that create the missing rows of pools and instances.
    ///
    /// # Errors
    ///
    /// Returns the token of a newer manager.
    ///
    /// ```
    /// let state = coriandernotch::pools::State::example(2, 4);
    /// assert_eq!(state.missing_rows().unwrap().len(), 3);
    /// ```
    pub fn missing_rows(&self) -> Result<Vec<Change>, Refusal> {
        self.check_token(self.pools().map(|(_, pool)| pool))?;
        let ids: Vec<PoolId> = self.pools().map(|(id, _)| id).collect();
        let changes = ids
            .into_iter()
            .filter_map(|id| self.create_missing_rows(id));
        Ok(changes.collect())
    }

    fn create_missing_rows(&self, id: PoolId) -> Option<Change> {
        let operation = self.tenure.next_operation();
        let pool = self.pool(id)?;
        let without_row = pool.members.iter().map(|m| (*m, self.instance(*m)));
        let without_row: Vec<_> = without_row
            .filter(|(_, instance)| instance.version == 0)
            .collect();
        if pool.version > 0 && without_row.is_empty() {
            return None;
        }
        let row = self.ledger(pool, &self.tally(pool), operation);
        let mut writes = vec![conditional_put(
            &Summary::key(&pool.name),
            pool.version,
            &row,
        )];
        writes.extend(without_row.iter().map(|(_, instance)| {
            let row = self.assignment(instance, operation);
            conditional_put(&Assignment::key(&instance.name), 0, &row)
        }));
        Some(Change {
            operation,
            probe_key: writes[0].key.clone(),
            instances: without_row
                .into_iter()
                .map(|(m, i)| (m, i.clone()))
                .collect(),
            writes,
            pools: vec![id],
            shortfalls: None,
        })
    }

    /// Returns the transaction that writes the manager's token to every pool row.
    ///
    /// A manager writes it at the start of its tenure. From then on every transaction of an earlier
    /// manager conflicts, however long that manager was paused, and no row has to be shared by all
    /// transactions.
    ///
    /// # Errors
    ///
    /// Returns the token of a newer manager; an older token must never replace it.
    ///
    /// ```
    /// let state = coriandernotch::pools::State::example(2, 4);
    /// assert_eq!(state.fence().unwrap().writes.len(), 3);
    /// ```
    pub fn fence(&self) -> Result<Change, Refusal> {
        self.check_token(self.pools().map(|(_, pool)| pool))?;
        let operation = self.tenure.next_operation();
        let tally_rows = |pool: &Pool| {
            let members = pool.members.iter().map(|m| self.instance(*m));
            Tally::of(members.filter(|instance| instance.version > 0))
        };
        let write = |pool: &Pool| {
            let row = self.ledger(pool, &tally_rows(pool), operation);
            conditional_put(&Summary::key(&pool.name), pool.version, &row)
        };
        let writes: Vec<Write> = self.pools().map(|(_, pool)| write(pool)).collect();
        Ok(Change {
            operation,
            probe_key: first_key(&writes),
            writes,
            instances: Vec::new(),
            pools: self.pools().map(|(id, _)| id).collect(),
            shortfalls: None,
        })
    }

    /// Applies a change that took effect in the table.
    ///
    /// See [`State::draft`] for an example.
    pub fn apply(&mut self, now: Instant, change: &Change) {
        for (id, after) in &change.instances {
            let before = self.instance(*id).pool;
            if before != after.pool {
                self.pool_mut(before).members.retain(|m| m != id);
                self.pool_mut(after.pool).members.push(*id);
            }
            let mut after = after.clone();
            after.version += 1;
            if after.phase != self.instance(*id).phase {
                after.since = now;
            }
            self.instances[id.index()] = after;
        }
        let token = self.token();
        for id in &change.pools {
            let pool = self.pool_mut(*id);
            pool.version += 1;
            pool.token = token;
            if let (true, Some(shortfalls)) = (pool.spare, &change.shortfalls) {
                pool.shortfalls.clone_from(shortfalls);
            }
        }
    }
}

/// Creates a write that is conditional on the version that was read, 0 for a missing row.
fn conditional_put(key: &str, version: u64, row: &impl serde::Serialize) -> Write {
    let condition = match version {
        0 => Condition::Absent,
        version => Condition::Version(version),
    };
    let value: Arc<str> = serde_json::to_string(row)
        .expect("all map keys are strings")
        .into();
    Write {
        key: key.into(),
        condition,
        value: Some(value),
    }
}

/// Returns the key of the first row, or an empty one when nothing is written.
fn first_key(writes: &[Write]) -> Arc<str> {
    writes
        .first()
        .map_or_else(|| "".into(), |write| write.key.clone())
}
