use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::jobs::Size;

/// Tasks of a job that are alike and may run side by side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub size: Size,
    /// Declared run time of a task in milliseconds.
    pub estimate_ms: u64,
    /// Numbers of earlier steps that must be complete first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether tasks save their progress.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether tasks work only while all of them are present.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether tasks are slower when spread over racks.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that a worker must carry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<Arc<str>>,
    /// Rack that holds the data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Arc<str>>,
    /// Most tasks on one worker; 0 means any number.
    pub max_per_worker: u32,
    /// Whether copies of a task may run side by side.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub lasting: bool,
    /// What the tasks run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// Longest tail latency of a lasting task in milliseconds; 0 when it serves nobody.
    pub latency_ms: u64,
    /// Whether tasks use only processor time that others leave.
    #[serde(skip_serializing_if = "is_false")]
    pub filling: bool,
    /// Lasting tasks that may be away at once by our own orders.
    pub may_miss: u32,
}

impl Step {
    /// Returns what a task takes from the capacity of a worker.
    pub fn charge(&self) -> Size {
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
