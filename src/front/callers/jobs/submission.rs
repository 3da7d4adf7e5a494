use std::sync::Arc;

use serde::Deserialize;

use crate::jobs::Size;

/// Body of a submission.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct Submission {
    pub(super) kind: Arc<str>,
    pub(super) size: Size,
    #[serde(default)]
    pub(super) urgent: bool,
    #[serde(default)]
    pub(super) checkpoints: bool,
    #[serde(default)]
    pub(super) payload: serde_json::Value,
}

impl Submission {
    /// Longest body in bytes.
    pub(super) const MAX: usize = 16 << 10;

    /// Longest kind in bytes; kinds are kept in memory.
    const MAX_KIND: usize = 64;

    /// Reads a submission, or says what is wrong with it.
    pub(super) fn read(body: &[u8]) -> Result<Self, &'static str> {
        let submission: Self = serde_json::from_slice(body)
            .map_err(|_| "body is not {kind, size, urgent, checkpoints, payload}")?;
        if !(1..=Self::MAX_KIND).contains(&submission.kind.len()) {
            return Err("kind is not 1 to 64 bytes");
        }
        if submission.size.processors == 0 {
            return Err("size asks for no processors");
        }
        Ok(submission)
    }
}
