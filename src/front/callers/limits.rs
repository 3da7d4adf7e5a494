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
    /// Bytes of a request body; a service may set less.
    pub body_bytes: u64,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Time for which a caller may leave a part of an answer untaken.
    pub stall_timeout: Duration,
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
            body_bytes: 64 << 20,
            idle_timeout: Duration::from_secs(60),
            stall_timeout: Duration::from_secs(10),
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
            body_bytes: bounds.body_bytes,
            idle_timeout: Duration::from_millis(bounds.idle_ms.into()),
            ..Self::default()
        }
    }
}

impl Limits {
    /// Returns the time between two looks at a connection, half of the shortest bound.
    pub(super) fn look_every(&self) -> Duration {
        let shortest = self.idle_timeout.min(self.stall_timeout);
        (shortest.min(self.header_timeout) / 2).max(Duration::from_millis(1))
    }
}
