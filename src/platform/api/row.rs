use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

/// A row of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Row {
    /// Partition; may be empty.
    pub part: Arc<str>,
    /// Key.
    pub key: Arc<str>,
    /// Content; `None` when the row was deleted.
    pub content: Option<Vec<u8>>,
    /// Version; 0 means that the row does not exist.
    pub version: u64,
}

/// A row as the store sends it.
#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
pub(super) struct Wire {
    part: Arc<str>,
    key: Arc<str>,
    value: Option<String>,
    ver: u64,
    /// Set on rows that were deleted.
    tombstone: bool,
}

impl From<Wire> for Row {
    fn from(wire: Wire) -> Self {
        let content = wire.value.filter(|_| !wire.tombstone).map(|text| {
            STANDARD.decode(&text).unwrap_or_else(|error| {
                log::error!(event = "row-undecodable", key = wire.key, error:% = error; "");
                Vec::new()
            })
        });
        Self {
            part: wire.part,
            key: wire.key,
            content,
            version: wire.ver,
        }
    }
}

/// Encodes the content of a row.
pub(super) fn encode(content: &[u8]) -> String {
    STANDARD.encode(content)
}
