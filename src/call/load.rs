use std::sync::Arc;

use crate::collections::Map;
use crate::fleet::{ServiceId, TeamId};

/// Calls that run through one or several entry instances.
///
/// ```
/// use coriandernotch::call::Load;
///
/// let mut sum = Load::default();
/// sum.targets.insert("t".into(), 1);
/// let one = sum.clone();
/// sum.add(&one);
/// assert_eq!(sum.targets["t"], 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running calls per service and team.
    pub teams: Map<(ServiceId, TeamId), u32>,
    /// Running calls per target name.
    pub targets: Map<Arc<str>, u32>,
    /// Version of the roster by which the calls were granted; says nothing of a sum.
    pub assigned: u64,
}

impl Load {
    /// Adds the calls of `other`.
    pub fn add(&mut self, other: &Self) {
        other
            .teams
            .iter()
            .for_each(|(key, n)| *self.teams.entry(*key).or_insert(0) += n);
        for (name, n) in &other.targets {
            *self.targets.entry(name.clone()).or_insert(0) += n;
        }
    }
}
