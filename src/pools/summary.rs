use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Operation, Shortfall};

/// Row `pools/{name}`: counts of a pool, written with every change of one of its instances.
///
/// A transaction that is conditional on the version of this row therefore takes effect only if
/// nothing in the pool changed since the row was read, even when several managers are active.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// Newest fencing token that wrote the row.
    pub token: u64,
    /// Operation of the transaction that wrote the row.
    pub operation: Operation,
    /// Instances in the pool.
    pub members: u32,
    /// Instances of the pool that do not serve.
    pub out: u32,
    /// In the row of the spare pool: spare instances that each pool would need after the next
    /// failure.
    #[serde(default)]
    pub cover: BTreeMap<Arc<str>, Shortfall>,
}

impl Summary {
    /// Prefix of the keys of all these rows.
    pub const PREFIX: &str = "pools/";

    /// Returns the key of the row of a pool.
    ///
    /// ```
    /// assert_eq!(coriandernotch::pools::Summary::key("workers"), "pools/workers");
    /// ```
    pub fn key(pool: &str) -> String {
        format!("{}{pool}", Self::PREFIX)
    }
}
