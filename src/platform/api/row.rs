use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

/// A row of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Row {
    /// Name of the partition; may be empty.
    pub part: Arc<str>,
    /// Key within the partition.
    pub key: Arc<str>,
    /// Decoded content; `None` if the row was deleted.
    pub content: Option<Vec<u8>>,
    /// Version; 0 means that the row does not exist.
    pub version: u64,
}

/// A row in the format of the store, with content in Base64.
#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
pub(super) struct WireRow {
    part: Arc<str>,
    key: Arc<str>,
    value: Option<String>,
    ver: u64,
    /// Whether the row was deleted.
    tombstone: bool,
}

impl From<WireRow> for Row {
    fn from(wire: WireRow) -> Self {
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

/// Encodes the content of a row in Base64.
pub(super) fn encode(content: &[u8]) -> String {
    STANDARD.encode(content)
}
