use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Condition;

/// Conditional write or deletion of one row, as part of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// Condition on the row; if it fails, the whole transaction has no effect.
    pub condition: Condition,
    /// New content of the row, or `None` to delete the row.
    pub value: Option<Arc<str>>,
}

impl Write {
    /// Creates a write of `value` to `key` under `condition`.
    ///
    /// ```
    /// use coriandernotch::platform::{Condition, Write};
    ///
    /// let write = Write::put("fleet/head", Condition::Absent, "{}");
    /// assert_eq!(&*write.key, "fleet/head");
    /// ```
    pub fn put(key: &str, condition: Condition, value: &str) -> Self {
        Self {
            key: key.into(),
            condition,
            value: Some(value.into()),
        }
    }

    /// Creates a deletion of `key` under `condition`.
    ///
    /// ```
    /// use coriandernotch::platform::{Condition, Write};
    ///
    /// assert!(Write::delete("a", Condition::Any).value.is_none());
    /// ```
    pub fn delete(key: &str, condition: Condition) -> Self {
        Self {
            key: key.into(),
            condition,
            value: None,
        }
    }
}
