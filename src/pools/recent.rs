use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Assignment, Change, Membership, Operation};
use crate::platform::{Condition, Write};

/// Instances whose last changes the row lists, so that it stays below 2 KB.
const MOST: usize = 16;

/// Row `assignments/recent`: the last transactions that changed instances, oldest first.
///
/// Every transaction writes it, without a condition so that it causes no conflicts. Its version
/// counts the transactions, which tells a reader whether the list misses one that another manager
/// wrote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Recent(VecDeque<Step>);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Step {
    operation: Operation,
    instances: Vec<(Arc<str>, Membership)>,
}

impl Recent {
    /// Key of the row.
    pub const KEY: &str = "assignments/recent";

    /// Adds a change, which forgets older ones.
    ///
    /// ```
    /// use coriandernotch::pools::{Recent, State};
    ///
    /// let change = State::example(1, 2).found().unwrap().remove(0);
    /// let mut recent = Recent::default();
    /// recent.push(&change);
    /// assert_eq!(&*recent.write().key, Recent::KEY);
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
        self.0.push_back(Step {
            operation: change.operation,
            instances: rows.collect(),
        });
        // A reader uses the oldest step only as the one that it knows, so its instances may go.
        while self.size() > MOST && self.0.len() > 1 {
            self.0.pop_front();
        }
        if let Some(oldest) = self.0.front_mut() {
            oldest.instances.clear();
        }
    }

    fn size(&self) -> usize {
        self.0.iter().map(|step| step.instances.len().max(1)).sum()
    }

    /// Makes the write of the row.
    ///
    /// See [`Recent::push`] for an example.
    pub fn write(&self) -> Write {
        let value = serde_json::to_string(self).expect("text keys only");
        Write::put(Self::KEY, Condition::Any, &value)
    }

    /// Returns the operation of the last transaction.
    pub(super) fn last(&self) -> Option<Operation> {
        self.0.back().map(|step| step.operation)
    }

    /// Lists what changed in the last `count` transactions, if the one before them is `known`.
    pub(super) fn after(
        &self,
        known: Operation,
        count: u64,
    ) -> Option<impl Iterator<Item = &(Arc<str>, Membership)>> {
        let base = self.0.iter().position(|step| step.operation == known)?;
        let steps = self.0.iter().skip(base + 1);
        (steps.len() as u64 == count).then(|| steps.flat_map(|step| &step.instances))
    }
}
