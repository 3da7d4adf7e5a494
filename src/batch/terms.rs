use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Advice;

/// Number of failures of one task after which its job fails, if its queue is unknown. A record that
/// an older version wrote does not contain the number.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// What a queue grants to a job.
///
/// ```
/// use coriandernotch::batch::Terms;
///
/// assert_eq!(Terms::default().max_attempts, 3);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Terms {
    /// Priority among queues; 0 is the highest.
    pub priority: u32,
    /// Number of failures of one task after which the job fails, at least 1.
    pub max_attempts: u32,
    /// Time from arrival within which the job should complete.
    pub objective: Duration,
    /// Advice service settings, if only workers with a ticket may run a step.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advice: Option<Advice>,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            priority: 0,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            objective: Duration::ZERO,
            advice: None,
        }
    }
}
