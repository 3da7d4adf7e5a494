//! Content of the rows of jobs.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;

use super::row;
use crate::batch::{MAX_ROW_BYTES, Record};

/// First bytes of compressed content (RFC 1952), with which no JSON begins.
const MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Largest record that is compressed, in bytes.
const MAX_RECORD_BYTES: usize = 8 << 20;

/// Encodes a job. One that does not fit into a row is compressed, which instances of older versions
/// do not read. `None` if it still does not fit.
pub(super) fn encode(record: &Record) -> Option<Vec<u8>> {
    let plain = row::encode(record);
    if plain.len() <= MAX_ROW_BYTES {
        return Some(plain);
    }
    if plain.len() > MAX_RECORD_BYTES || !record.spec.has_bounded_progress() {
        return None;
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&plain).ok()?;
    let content = encoder.finish().ok()?;
    (content.len() <= MAX_ROW_BYTES).then_some(content)
}

/// Decodes a job. `None` if it is invalid, since other writers use the store too.
pub(super) fn decode(key: &str, content: &[u8]) -> Option<Record> {
    if !content.starts_with(&MAGIC) {
        return row::decode(key, content);
    }
    let mut plain = Vec::new();
    let mut decoder = GzDecoder::new(content).take(MAX_RECORD_BYTES as u64);
    if let Err(error) = decoder.read_to_end(&mut plain) {
        log::error!(event = "row-unreadable", key, error:% = error; "");
        return None;
    }
    row::decode(key, &plain)
}
