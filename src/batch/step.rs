use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::jobs::Size;

/// Identical tasks of a job that may run in parallel.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub size: Size,
    /// Declared run time of a task in milliseconds.
    pub estimate_ms: u64,
    /// Positions of the earlier steps that must be complete first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether tasks save their progress.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether tasks can work only while all of them are running.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether tasks are slower when they run in different racks.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that the worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<Arc<str>>,
    /// Rack that stores the data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of tasks on one worker; 0 means no limit.
    pub max_per_worker: u32,
    /// Whether a task may have several runs at once.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub lasting: bool,
    /// Image that the tasks run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// Maximum tail latency of a lasting task that serves requests, in milliseconds; 0 if it serves
    /// none.
    pub latency_ms: u64,
    /// Whether tasks are best-effort: they use only processor time that others leave.
    #[serde(skip_serializing_if = "is_false")]
    pub filling: bool,
    /// Number of lasting tasks that our own orders may take down at once.
    pub may_miss: u32,
}

impl Step {
    /// Returns the resources that a task takes from the capacity of a worker.
    pub fn reserved(&self) -> Size {
        if self.filling {
            Size::new(0, self.size.memory, self.size.accelerators)
        } else {
            self.size
        }
    }

    /// Returns the declared run time of a task.
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.estimate_ms)
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(value: &bool) -> bool {
    !value
}
