use std::time::Duration;

use crate::settings::Bounds;

/// Bounds of the callers' port.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Bytes of all headers of a request.
    pub header_bytes: usize,
    /// Time for a request's headers to arrive.
    pub header_timeout: Duration,
    /// Time between two parts of a request body.
    pub body_timeout: Duration,
    /// Time for a connection to a target to be made.
    pub connect_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            header_bytes: 32 << 10,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_secs(1),
        }
    }
}

impl From<&Bounds> for Limits {
    fn from(bounds: &Bounds) -> Self {
        Self {
            connections: bounds.connections as usize,
            header_bytes: bounds.header_bytes as usize,
            header_timeout: Duration::from_millis(bounds.header_read_ms.into()),
            ..Self::default()
        }
    }
}
