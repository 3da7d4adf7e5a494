use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Assignment, Phase};

/// Part of the assignment of one instance that entry instances need.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Membership {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Current phase.
    pub phase: Phase,
    /// Version of the row `instances/{name}`.
    pub version: u64,
    /// Version of the roster that first contained this membership.
    #[serde(skip)]
    pub since: u64,
}

impl Membership {
    pub(super) fn new(row: &Assignment, version: u64) -> Self {
        Self {
            pool: row.pool.clone(),
            phase: row.phase,
            version,
            since: 0,
        }
    }

    /// Tells whether the instance may receive new calls to the services of its pool.
    ///
    /// An instance in [`Phase::Down`] may. Whether it gets calls depends on the platform's list,
    /// its data centre and the health of its calls, so that calls resume without waiting for a
    /// manager when it comes back.
    pub fn takes_calls(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Down)
    }
}
