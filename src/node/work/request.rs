use std::sync::Arc;

use serde::Serialize;
use serde_json::Value;

use super::resources::Resources;
use crate::jobs::Size;

/// Body of `POST /jobs/{id}` at a worker.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Request {
    pub(super) shard: Arc<str>,
    pub(super) token: u64,
    pub(super) lease_ms: u64,
    pub(super) need: Resources,
    /// Actual resource use of the run, taken from the payload; only stand-in workers read it.
    real: Resources,
    /// Remaining run time: the run time in the payload less the progress saved by checkpoints.
    run_ms: u64,
}

impl Request {
    /// Run time of a job whose payload has no `run-ms`.
    const DEFAULT_RUN_MS: u64 = 1_000;

    pub(super) fn new(shard: Arc<str>, size: Size, payload: &Value, done_ms: u64) -> Self {
        let need = Resources::from(size);
        let real = payload.get("real").cloned();
        let real = real.and_then(|real| serde_json::from_value(real).ok());
        let run_ms = payload.get("run-ms").and_then(Value::as_u64);
        Self {
            shard,
            token: 0,
            lease_ms: 0,
            need,
            real: real.unwrap_or(need),
            run_ms: run_ms
                .unwrap_or(Self::DEFAULT_RUN_MS)
                .saturating_sub(done_ms),
        }
    }

    /// Makes a start request that is too large for any worker. It starts nothing, but the worker
    /// records its token and from then on rejects starts of earlier holders.
    pub(super) fn fence(shard: Arc<str>, token: u64) -> Self {
        let size = Size::new(u64::MAX, u64::MAX, u64::MAX);
        Self {
            token,
            lease_ms: 1,
            ..Self::new(shard, size, &Value::Null, 0)
        }
    }

    pub(super) fn json(&self) -> String {
        serde_json::to_string(self).expect("a request has only string keys")
    }
}
