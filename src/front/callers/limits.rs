use std::time::Duration;

use crate::intake;
use crate::settings::Bounds;

/// How much later than [`super::activity::Activity`] the registry ends a connection, which does so at
/// once; the first lets HTTP/2 callers know.
const GATE_FACTOR: u32 = 2;

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
    /// Memory of the machine in MiB, if it bounds connections.
    pub memory_mb: Option<u32>,
    /// Descriptors of the process, if they bound connections.
    pub max_descriptors: Option<u32>,
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
            memory_mb: None,
            max_descriptors: None,
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
            memory_mb: bounds.memory_mb,
            max_descriptors: bounds.max_descriptors,
            ..Self::default()
        }
    }
}

impl Limits {
    /// Returns the limits of the registry. Without the memory in the settings, the budget has room for
    /// small requests on all connections.
    pub(crate) fn intake(&self) -> intake::Limits {
        let derived = intake::Limits::new(self.memory_mb, self.max_descriptors);
        let connections = match (self.memory_mb, self.max_descriptors) {
            (None, None) => self.connections,
            _ => self.connections.min(derived.connections),
        };
        let each = 4 * (intake::CONNECTION_BYTES + intake::SMALL_BYTES);
        let limits = match self.memory_mb {
            Some(_) => derived,
            None => derived.with_bytes(derived.bytes.max(connections * each)),
        };
        intake::Limits {
            connections,
            calls: self.max_descriptors.map_or(usize::MAX, |_| limits.calls),
            head_bytes: self.header_bytes.max(8 << 10),
            head_time: self.header_timeout * GATE_FACTOR,
            idle_time: self.idle_timeout * GATE_FACTOR,
            write_time: self.stall_timeout * GATE_FACTOR,
            ..limits
        }
    }

    /// Returns the time between two looks at a connection, half of the shortest bound.
    pub(super) fn look_every(&self) -> Duration {
        let shortest = self.idle_timeout.min(self.stall_timeout);
        (shortest.min(self.header_timeout) / 2).max(Duration::from_millis(1))
    }
}
