use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Spec, Terms};

/// An accepted job as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Record {
    /// Name of its queue.
    pub route: Arc<str>,
    /// Service of the queue when the job was accepted, used if the queue is removed.
    pub service: Arc<str>,
    /// What the queue granted when the job was accepted, used if the queue is removed.
    pub terms: Terms,
    /// Workspace that owns the job; empty on queues that need no key.
    pub workspace: Arc<str>,
    /// When it arrived, in milliseconds since 1970.
    pub arrived_ms: u64,
    /// Description given by the caller.
    pub spec: Spec,
}
