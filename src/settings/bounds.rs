use serde::{Deserialize, Serialize};

/// Bounds on what callers and operators may occupy in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Bounds {
    /// Connections of callers open at once.
    pub connections: u32,
    /// Bytes of the head of one request.
    pub header_bytes: u32,
    /// Bytes of one request body; a service may set less.
    pub body_bytes: u64,
    /// Milliseconds after which a connection without a request is closed.
    pub idle_ms: u32,
    /// Milliseconds within which the head of a request must arrive.
    pub header_read_ms: u32,
    /// Milliseconds that running calls get to finish after SIGTERM.
    pub shutdown_grace_ms: u32,
    /// Memory of the machine in MiB, of which connections may occupy half, and those that wait to be
    /// accepted an eighth.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u32>,
    /// Descriptors of the process, of which callers may occupy a quarter.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_descriptors: Option<u32>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_bytes: 32 << 10,
            body_bytes: 64 << 20,
            idle_ms: 60_000,
            header_read_ms: 10_000,
            // The default longest run of a call plus 5 s to retire and close.
            shutdown_grace_ms: 35_000,
            memory_mb: None,
            max_descriptors: None,
        }
    }
}
