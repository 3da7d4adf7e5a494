use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Assignment, Change, Membership, Operation};
use crate::platform::{Condition, Write};

/// Most instances that the row lists, which keeps it below 2 KB.
const MAX_INSTANCES: usize = 16;

/// Row `assignments/recent`: the last transactions that changed instances, oldest first.
///
/// Every transaction writes it, without a condition so that it causes no conflicts. The version of
/// the row counts the transactions, so a reader can tell whether the list lacks one that another
/// manager wrote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Changelog(VecDeque<Entry>);

/// One transaction and the instances that it changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Entry {
    operation: Operation,
    instances: Vec<(Arc<str>, Membership)>,
}

impl Changelog {
    /// Key of the row.
    pub const KEY: &str = "assignments/recent";

    /// Adds a change, and drops the oldest ones above the size limit.
    ///
    /// ```
    /// use coriandernotch::pools::{Changelog, State};
    ///
    /// let change = State::example(1, 2).missing_rows().unwrap().remove(0);
    /// let mut changelog = Changelog::default();
    /// changelog.push(&change);
    /// assert_eq!(&*changelog.write().key, Changelog::KEY);
    /// ```
    pub fn push(&mut self, change: &Change) {
        let rows = change.writes.iter().filter_map(|write| {
            let name = write.key.strip_prefix(Assignment::PREFIX)?;
            let row: Assignment = serde_json::from_str(write.value.as_ref()?).ok()?;
            let version = match write.condition {
                Condition::Version(version) => version + 1,
                Condition::Any | Condition::Absent => 1,
            };
            Some((name.into(), Membership::new(&row, version)))
        });
        self.0.push_back(Entry {
            operation: change.operation,
            instances: rows.collect(),
        });
        // A reader needs only the operation of the oldest entry, to find the entries after one that
        // it knows.
        while self.size() > MAX_INSTANCES && self.0.len() > 1 {
            self.0.pop_front();
        }
        if let Some(oldest) = self.0.front_mut() {
            oldest.instances.clear();
        }
    }

    fn size(&self) -> usize {
        self.0
            .iter()
            .map(|entry| entry.instances.len().max(1))
            .sum()
    }

    /// Returns the write of the row.
    ///
    /// See [`Changelog::push`] for an example.
    pub fn write(&self) -> Write {
        let value = serde_json::to_string(self).expect("all map keys are strings");
        Write::put(Self::KEY, Condition::Any, &value)
    }

    /// Returns the operation of the last transaction.
    pub(super) fn last_operation(&self) -> Option<Operation> {
        self.0.back().map(|entry| entry.operation)
    }

    /// Lists the changes of the last `count` transactions, if the one before them is `known`.
    pub(super) fn changes_after(
        &self,
        known: Operation,
        count: u64,
    ) -> Option<impl Iterator<Item = &(Arc<str>, Membership)>> {
        let base = self.0.iter().position(|entry| entry.operation == known)?;
        let entries = self.0.iter().skip(base + 1);
        (entries.len() as u64 == count).then(|| entries.flat_map(|entry| &entry.instances))
    }
}
