use super::{Fence, Resolution};

/// A leader as the writer of one partition, with the fence row as it knows it.
///
/// The number of a write tells whether it is stored, so a write is sent until that is known before
/// the next one is made. For the same reason a leader has only one writer for each partition.
///
/// ```
/// use coriandernotch::batch::{Fence, Resolution, Writer};
///
/// let mut writer = Writer::new(2);
/// assert!(writer.observe(40, Fence { token: 2, write: 9 }));
/// let sent = writer.next_fence();
/// assert_eq!(writer.resolve_conflict(41, sent), Resolution::Stored);
/// let newer = Fence { token: 3, write: 11 };
/// assert_eq!(writer.resolve_conflict(42, newer), Resolution::Superseded);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Writer {
    token: u64,
    /// Version of the fence row; 0 before it is read.
    version: u64,
    /// Number of the last write in the fence row.
    last_write: u64,
}

impl Writer {
    /// Creates the writer of the leader with `token`, which has yet to read the fence row.
    pub fn new(token: u64) -> Self {
        Self {
            token,
            version: 0,
            last_write: 0,
        }
    }

    /// Returns whether the fence row is known, without which nothing can be written.
    pub fn knows_fence(&self) -> bool {
        self.version != 0
    }

    /// Records the fence row that was read. Returns whether it is still the one of this leader.
    pub fn observe(&mut self, version: u64, fence: Fence) -> bool {
        (self.version, self.last_write) = (version, fence.write);
        fence.token == self.token
    }

    /// Returns the version of the fence row on which the next write depends.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the fence row that the next write stores.
    pub fn next_fence(&self) -> Fence {
        Fence {
            token: self.token,
            write: self.last_write + 1,
        }
    }

    /// Records that the write with [`Writer::next_fence`] was applied and received `version`.
    pub fn record_applied(&mut self, version: u64) {
        (self.version, self.last_write) = (version, self.last_write + 1);
    }

    /// Decides what a conflict of the write with [`Writer::next_fence`] means, from the fence row
    /// that was read after it.
    pub fn resolve_conflict(&mut self, version: u64, stored: Fence) -> Resolution {
        let sent = self.next_fence();
        match self.observe(version, stored) {
            false => Resolution::Superseded,
            true if stored.write == sent.write => Resolution::Stored,
            true => Resolution::Resend,
        }
    }
}
