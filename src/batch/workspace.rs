use std::sync::Arc;

use crate::jobs::Size;

/// A customer with a weight and an upper limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Share when capacity is full, and jobs a second that are owed to it.
    pub weight: u64,
    /// Most that may run at once; zero in a resource means no limit.
    pub maximum: Size,
}

impl Workspace {
    /// Returns whether `usage` may grow by `size`.
    ///
    /// ```
    /// use coriandernotch::batch::Workspace;
    /// use coriandernotch::jobs::Size;
    ///
    /// let maximum = Size::new(1_000, 0, 0);
    /// let workspace = Workspace { maximum, ..Workspace::default() };
    /// assert!(workspace.admits(Size::new(400, 999, 0), Size::new(600, 1, 0)));
    /// assert!(!workspace.admits(Size::new(401, 0, 0), Size::new(600, 0, 0)));
    /// ```
    pub fn admits(&self, usage: Size, size: Size) -> bool {
        let within = |limit: u64, sum: u64| limit == 0 || sum <= limit;
        let sum = usage + size;
        within(self.maximum.processors, sum.processors)
            && within(self.maximum.memory, sum.memory)
            && within(self.maximum.accelerators, sum.accelerators)
    }
}
