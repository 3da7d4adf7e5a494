use std::sync::Arc;

use crate::jobs::Size;

/// A tenant with a weight and a resource limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Share of the capacity when it is scarce, and number of jobs a second that the workspace is
    /// entitled to.
    pub weight: u64,
    /// Maximum resources in use at once; 0 means no limit for that resource.
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
