use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Shared;
use crate::config::{Operation, Origin};
use crate::platform::{Condition, Write};

/// Maximum time to write a row, with all attempts.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempts for a write, so that a single lost answer does not refuse an action.
const MAX_ATTEMPTS: u32 = 3;

/// Time between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Value of row `audit/{time}-{operation}`, the record of an action of an operator.
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
    /// Identifies the action; the history shows a change of the document under the same operation.
    pub operation: Operation,
    /// Name of the operator.
    pub operator: Arc<str>,
    /// What the operator asked for.
    pub action: Arc<str>,
    /// Details of the action, such as the version on which a change is based.
    pub detail: Arc<str>,
    /// `started` until the outcome is known.
    pub outcome: Arc<str>,
}

impl Audit {
    /// Prefix of the row keys.
    pub const PREFIX: &str = "audit/";

    /// Creates the row of an action that starts.
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
    /// Writes the row of an action and returns whether the store confirmed it.
    pub async fn record(&self, audit: &Audit) -> bool {
        let value = serde_json::to_string(audit).expect("an audit row has only plain fields");
        let write = Write::put(&audit.key(), Condition::Any, &value);
        let written = tokio::time::timeout(WRITE_TIMEOUT, self.write_with_retries(&write)).await;
        let written = written.unwrap_or(false);
        log::info!(event = "operator-action", operator = audit.operator, action = audit.action,
            detail = audit.detail, outcome = audit.outcome, operation:% = audit.operation,
            written = written; "");
        written
    }

    /// Executes an idempotent write with retries and returns whether the store confirmed it.
    async fn write_with_retries(&self, write: &Write) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            if self
                .platform
                .table
                .transact(vec![write.clone()])
                .await
                .is_ok()
            {
                return true;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        false
    }
}
