use std::ops::RangeInclusive;
use std::time::Duration;

use super::Port;
use super::listen::RECEIVE_BYTES;

/// Bytes charged for a connection itself: 64 KiB of the kernel for what it has received, 8 KiB for
/// answers, hyper's read buffer of 8 KiB, its state, and the task.
pub const CONNECTION_BYTES: usize = 96 << 10;

/// Bytes charged for a call that is passed on to a target: 32 KiB of the kernel for what the target
/// has sent, some buffers of 8 KiB that are read ahead, 32 KiB that wait to be written to the caller,
/// and the tasks.
pub const CALL_BYTES: usize = 128 << 10;

/// Most bytes that are read from a connection at once. hyper doubles its read buffer, up to the limit
/// of a head, only after a read that filled the 8 KiB with which it begins.
pub const READ_BYTES: usize = (8 << 10) - 1;

/// Most bytes that a request may hold to use the reserve: a head of 20 kB, whose buffer may be
/// twice as large, and a body of some kB.
pub const SMALL_BYTES: usize = 64 << 10;

/// Memory in MiB of a machine whose settings do not name it.
pub const DEFAULT_MEMORY_MB: u32 = 512;

/// Descriptors of a process whose settings do not name them.
const DEFAULT_DESCRIPTORS: u32 = 8_192;

/// One part in so many of the memory is the budget; the rest is for the state of the leader, the
/// program and the calls to the platform.
const MEMORY_PARTS: usize = 2;

/// One part in so many of the budget can be taken by connections themselves.
const CONNECTION_PARTS: usize = 2;

/// One part in so many of the budget is reserved for small requests.
const RESERVE_PARTS: usize = 4;

/// One part in so many of the descriptors is for callers, and another one for calls that are passed
/// on. The leader needs two for each worker.
const DESCRIPTOR_PARTS: usize = 4;

/// Connections of each port that is not for callers.
const SIDE_CONNECTIONS: usize = 32;

/// One part in so many of the memory can be taken by callers' connections that wait to be accepted.
const BACKLOG_PARTS: usize = 8;

/// Most bytes that the kernel holds for a connection that waits to be accepted, twice the receive
/// buffer that is asked for.
const PENDING_BYTES: usize = 2 * RECEIVE_BYTES as usize;

/// Fewest and most callers' connections that wait to be accepted.
const BACKLOG: RangeInclusive<usize> = 64..=1_024;

/// Connections of each other port that wait to be accepted.
const SIDE_BACKLOG: usize = 64;

/// Limits of what the connections of a process may occupy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all connections together.
    pub bytes: usize,
    /// Part of `bytes` that only small requests get.
    pub reserved_bytes: usize,
    /// Connections of callers.
    pub connections: usize,
    /// Connections of each other port.
    pub side_connections: usize,
    /// Calls that are passed on to targets at once, each of which needs a descriptor.
    pub calls: usize,
    /// Connections of callers that wait to be accepted.
    pub backlog: usize,
    /// Bytes of a head, empty lines before it included.
    pub head_bytes: usize,
    /// Time for a head to arrive.
    pub head_time: Duration,
    /// Time for a body to arrive.
    pub body_time: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_time: Duration,
    /// Time for which a client may leave an answer untaken.
    pub write_time: Duration,
}

impl Limits {
    /// Derives limits from the memory of the machine in MiB and the descriptors of the process.
    ///
    /// ```
    /// use coriandernotch::intake::Limits;
    ///
    /// let limits = Limits::new(Some(160), Some(4_100));
    /// assert_eq!(limits.bytes, 80 << 20);
    /// assert_eq!(limits.connections, 426);
    /// assert_eq!(limits.backlog, 320);
    /// ```
    pub fn new(memory_mb: Option<u32>, max_descriptors: Option<u32>) -> Self {
        let memory = (memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize) << 20;
        let descriptors = max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS) as usize;
        let limits = Self {
            bytes: 0,
            reserved_bytes: 0,
            connections: descriptors / DESCRIPTOR_PARTS,
            side_connections: SIDE_CONNECTIONS,
            calls: descriptors / DESCRIPTOR_PARTS,
            backlog: (memory / BACKLOG_PARTS / PENDING_BYTES)
                .clamp(*BACKLOG.start(), *BACKLOG.end()),
            head_bytes: 32 << 10,
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(60),
            write_time: Duration::from_secs(10),
        };
        limits.with_bytes(memory / MEMORY_PARTS)
    }

    /// Returns these limits with another budget, and at most as many connections as it allows.
    #[must_use]
    pub fn with_bytes(self, bytes: usize) -> Self {
        let connections = bytes / CONNECTION_PARTS / CONNECTION_BYTES;
        Self {
            bytes,
            reserved_bytes: bytes / RESERVE_PARTS,
            connections: self.connections.min(connections).max(1),
            ..self
        }
    }

    /// Returns how many connections a port may have.
    pub fn connections_of(&self, port: Port) -> usize {
        match port {
            Port::Callers => self.connections,
            Port::Readiness | Port::Metrics | Port::Operators => self.side_connections,
        }
    }

    /// Returns how many connections of a port may wait to be accepted.
    pub(super) fn backlog_of(&self, port: Port) -> usize {
        match port {
            Port::Callers => self.backlog,
            Port::Readiness | Port::Metrics | Port::Operators => SIDE_BACKLOG,
        }
    }
}
