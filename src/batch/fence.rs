use serde::{Deserialize, Serialize};

/// Row that fences the writes of older leaders to one partition.
///
/// ```
/// use coriandernotch::batch::Fence;
///
/// let fence = Fence { token: 2, write: 9 };
/// assert_eq!(fence.raised(3), Some(Fence { token: 3, write: 10 }));
/// assert_eq!(fence.raised(1), None);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Fence {
    /// Fencing token of the leader that last wrote to the partition.
    pub token: u64,
    /// Number of the write, counted over all leaders.
    pub write: u64,
}

impl Fence {
    /// Returns the row by which the leader with `token` takes over the partition, or `None` if a
    /// newer leader has done so.
    pub fn raised(self, token: u64) -> Option<Self> {
        let write = self.write + 1;
        (self.token <= token).then_some(Self { token, write })
    }
}
