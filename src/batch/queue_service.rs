use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A service on whose workers tasks of a queue may run although some of its jobs were accepted for
/// another service, because operators have moved the queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct QueueService {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
}
