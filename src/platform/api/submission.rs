use std::sync::Arc;

use serde::Deserialize;

use crate::batch::{Spec, Step};
use crate::jobs::Size;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Submission {
    spec: Arc<str>,
    steps: Vec<WireStep>,
    #[serde(default)]
    run_count: u32,
    #[serde(default)]
    start_time_ms: f64,
    #[serde(default)]
    interval_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireStep {
    count: u32,
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
    estimate_ms: f64,
    after: Vec<u32>,
    checkpointing: bool,
    gang: bool,
    same_rack: bool,
    requires: Option<Arc<str>>,
    data_rack: Option<Arc<str>>,
    max_per_server: u32,
    speculative: bool,
    long_running: bool,
    image: Option<Arc<str>>,
    /// Tail latency objective of a long-running task.
    target_ms: f64,
    fills: bool,
    may_miss: u32,
}

/// Decodes a job that a caller submits.
///
/// # Errors
///
/// Returns a description of what is invalid.
///
/// ```
/// let body = br#"{"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900}]}"#;
/// let spec = coriandernotch::platform::api::decode_submission(body).unwrap();
/// assert_eq!(spec.steps[0].size.processors, 500);
/// assert!(coriandernotch::platform::api::decode_submission(b"{}").is_err());
/// ```
pub fn decode_submission(body: &[u8]) -> Result<Spec, String> {
    // Rejects arrays, which serde would otherwise decode into a struct by the order of its fields.
    if !body.trim_ascii_start().starts_with(b"{") {
        return Err("a job is an object".into());
    }
    let submission: Submission = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let spec = Spec {
        payload: submission.spec,
        steps: submission.steps.into_iter().map(Step::from).collect(),
        occurrences: submission.run_count,
        first_ms: submission.start_time_ms.max(0.0) as u64,
        interval_ms: submission.interval_ms.max(0.0) as u64,
    };
    if spec.is_valid() {
        Ok(spec)
    } else {
        Err(
            "a step has no tasks or is after a step that is not earlier, or a number is too large"
                .into(),
        )
    }
}

impl From<WireStep> for Step {
    fn from(wire: WireStep) -> Self {
        let non_empty = |text: Option<Arc<str>>| text.filter(|text| !text.is_empty());
        Self {
            count: wire.count,
            size: Size::new(wire.cpu, wire.mem_mb, wire.gpu),
            estimate_ms: wire.estimate_ms.max(0.0) as u64,
            after: wire.after,
            checkpoints: wire.checkpointing,
            gang: wire.gang,
            same_rack: wire.same_rack,
            label: non_empty(wire.requires),
            data_rack: non_empty(wire.data_rack),
            max_per_worker: wire.max_per_server,
            speculative: wire.speculative,
            lasting: wire.long_running,
            image: non_empty(wire.image),
            latency_ms: wire.target_ms.max(0.0) as u64,
            filling: wire.fills,
            may_miss: wire.may_miss,
        }
    }
}
