use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Shared;
use crate::config::{Operation, Origin};
use crate::platform::{Condition, Write};

/// Time for the store to take a row.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of times that a write is tried, so that one lost answer refuses no action.
const ATTEMPTS: u32 = 3;

/// Time between two tries.
const RETRY: Duration = Duration::from_millis(50);

/// Value of row `audit/{time}-{operation}`: what an operator did.
///
/// ```
/// use coriandernotch::config::{Operation, Origin};
/// use coriandernotch::node::Audit;
///
/// let audit = Audit::new(&Origin::new(Operation(1), "ana", 7), "put-fleet", "version=3");
/// assert!(audit.key().starts_with("audit/0000000000007-"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Audit {
    /// Milliseconds since 1970.
    pub time: u64,
    /// Identifies the action; a change of the document has the same one in the history.
    pub operation: Operation,
    /// Name of the operator.
    pub operator: Arc<str>,
    /// What the operator asked for.
    pub action: Arc<str>,
    /// Object of the action, such as the version on which a change is based.
    pub detail: Arc<str>,
    /// `started` until the outcome is known.
    pub outcome: Arc<str>,
}

impl Audit {
    /// Prefix of the rows.
    pub const PREFIX: &str = "audit/";

    /// Makes the row of an action that starts.
    pub fn new(origin: &Origin, action: &str, detail: &str) -> Self {
        Self {
            time: origin.time,
            operation: origin.operation,
            operator: origin.author.clone(),
            action: action.into(),
            detail: detail.into(),
            outcome: "started".into(),
        }
    }

    /// Returns the key of the row, padded so that keys sort by time.
    pub fn key(&self) -> String {
        format!("{}{:013}-{}", Self::PREFIX, self.time, self.operation)
    }
}

impl Shared {
    /// Writes the row of an action, and returns false when the store did not confirm it.
    pub async fn record(&self, audit: &Audit) -> bool {
        let value = serde_json::to_string(audit).expect("an audit row has only plain fields");
        let write = Write::put(&audit.key(), Condition::Any, &value);
        let written = tokio::time::timeout(WRITE_TIMEOUT, self.write(&write)).await;
        let written = written.unwrap_or(false);
        log::info!(event = "operator-action", operator = audit.operator, action = audit.action,
            detail = audit.detail, outcome = audit.outcome, operation:% = audit.operation,
            written = written; "");
        written
    }

    /// Writes a row that may be written twice.
    async fn write(&self, write: &Write) -> bool {
        for _ in 0..ATTEMPTS {
            if self
                .platform
                .table
                .transact(vec![write.clone()])
                .await
                .is_ok()
            {
                return true;
            }
            tokio::time::sleep(RETRY).await;
        }
        false
    }
}
