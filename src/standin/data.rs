use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Instant;

use crate::platform::{Condition, Instance, Row, Write};

/// States of the instance list that are kept to answer a stale one.
const MAX_LISTS: usize = 1024;

/// Content of the store.
#[derive(Default)]
pub(super) struct Data {
    rows: BTreeMap<Arc<str>, Row>,
    pub(super) objects: BTreeMap<Arc<str>, Bytes>,
    lists: VecDeque<(Instant, Vec<Instance>)>,
}

impl Data {
    pub(super) fn read(&self, key: &str) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    pub(super) fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let start = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        self.rows
            .range::<str, _>((start, Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(prefix))
            .take(limit)
            .cloned()
            .collect()
    }

    /// Applies all writes, or none and returns the first row whose condition failed.
    pub(super) fn transact(&mut self, writes: &[Write]) -> Result<Vec<u64>, Arc<str>> {
        let version = |key: &str| self.rows.get(key).map(|row| row.version);
        let failed = writes.iter().find(|write| match write.condition {
            Condition::Any => false,
            Condition::Absent => version(&write.key).is_some(),
            Condition::Version(v) => version(&write.key) != Some(v),
        });
        if let Some(write) = failed {
            return Err(write.key.clone());
        }
        Ok(writes.iter().map(|write| self.apply(write)).collect())
    }

    fn apply(&mut self, write: &Write) -> u64 {
        let version = self.rows.get(&write.key).map_or(0, |row| row.version) + 1;
        match &write.value {
            Some(value) => {
                let row = Row {
                    key: write.key.clone(),
                    version,
                    value: value.clone(),
                };
                self.rows.insert(write.key.clone(), row);
            }
            None => {
                self.rows.remove(&write.key);
            }
        }
        version
    }

    pub(super) fn set_instances(&mut self, now: Instant, list: Vec<Instance>) {
        if self.lists.len() == MAX_LISTS {
            self.lists.pop_front();
        }
        self.lists.push_back((now, list));
    }

    pub(super) fn edit_instances(&mut self, now: Instant, edit: impl FnOnce(&mut Vec<Instance>)) {
        let mut list = self
            .lists
            .back()
            .map_or_else(Vec::new, |(_, list)| list.clone());
        edit(&mut list);
        if self.lists.back().is_none_or(|(_, last)| *last != list) {
            self.set_instances(now, list);
        }
    }

    /// Returns the list as it was at `at`, or the oldest known one.
    pub(super) fn instances(&self, at: Option<Instant>) -> Vec<Instance> {
        self.lists
            .iter()
            .rev()
            .find(|(since, _)| at.is_some_and(|at| *since <= at))
            .or(self.lists.front())
            .map_or_else(Vec::new, |(_, list)| list.clone())
    }
}
