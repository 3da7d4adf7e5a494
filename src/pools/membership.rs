use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Assignment, Phase};

/// What entry instances need of the assignment of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Membership {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// What the instance does.
    pub phase: Phase,
    /// Version of the row `instances/{id}`.
    pub version: u64,
    /// Version of the roster in which this first appeared.
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

    /// Tells whether the instance may get new calls of the services of its pool.
    ///
    /// An instance that counts as down may: the platform's list, the data centre and the health
    /// of its calls decide about it, and calls must not wait for a manager when it comes back.
    pub fn takes_calls(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Down)
    }
}
