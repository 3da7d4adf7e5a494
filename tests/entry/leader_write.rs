use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use tokio::time::Instant;

/// A write of the leader row that the stand-in of the store has applied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaderWrite {
    /// Fencing token in the row.
    pub(crate) token: u64,
    /// When the write was applied.
    pub(crate) at: Instant,
}

impl LeaderWrite {
    /// Reads the token from the content of a row in Base64. `None` if another writer stored a row
    /// that names no leader.
    pub(crate) fn decode(content: &str) -> Option<Self> {
        let content: Value = serde_json::from_slice(&STANDARD.decode(content).ok()?).ok()?;
        let token = content["token"].as_u64()?;
        let at = Instant::now();
        Some(Self { token, at })
    }
}
