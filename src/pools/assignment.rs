use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Operation, Phase, StoredPurpose};

/// Row `instances/{name}`: the one pool to which an instance belongs.
///
/// Rows are never deleted, because versions restart after a deletion and a delayed conditional
/// write could then take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Assignment {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Fencing token of the manager that wrote the row.
    pub token: u64,
    /// Operation of the transaction that wrote the row.
    pub operation: Operation,
    /// Current phase.
    pub phase: Phase,
    /// Reason for the current drain, move or reboot.
    pub errand: Option<StoredPurpose>,
    /// Data centre, stored because the platform's list omits failed instances.
    pub data_centre: Arc<str>,
    /// Rack, stored for the same reason.
    pub rack: Arc<str>,
    /// Incarnation that a reboot ends; another incarnation shows that the reboot took place.
    pub incarnation: u64,
    /// Time of the last planned reboot in seconds since 1970, 0 when there was none.
    pub maintained: u64,
}

impl Assignment {
    /// Returns the key of the row of an instance.
    ///
    /// ```
    /// assert_eq!(coriandernotch::pools::Assignment::key("w-1"), "instances/w-1");
    /// ```
    pub fn key(instance: &str) -> String {
        format!("{}{instance}", Self::PREFIX)
    }

    /// Prefix of the keys of all these rows.
    pub const PREFIX: &str = "instances/";
}
