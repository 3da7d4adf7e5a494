use crate::collections::Map;
use crate::fleet::{ServiceId, WorkspaceId};
use crate::route::NameHash;

/// Running calls that one or several entry instances dispatched.
///
/// ```
/// use coriandernotch::call::Load;
/// use coriandernotch::route::NameHash;
///
/// let mut sum = Load::default();
/// sum.targets.insert(NameHash::of("t"), 1);
/// let one = sum.clone();
/// sum.add(&one);
/// assert_eq!(sum.on_target("t"), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running calls per service and workspace.
    pub workspaces: Map<(ServiceId, WorkspaceId), u32>,
    /// Running calls per target.
    pub targets: Map<NameHash, u32>,
    /// Version of the roster that the calls were granted under; meaningless in a sum of loads.
    pub roster_version: u64,
}

impl Load {
    /// Adds the running calls of `other`; `roster_version` stays as it is.
    pub fn add(&mut self, other: &Self) {
        other
            .workspaces
            .iter()
            .for_each(|(key, n)| *self.workspaces.entry(*key).or_insert(0) += n);
        for (tag, n) in &other.targets {
            *self.targets.entry(*tag).or_insert(0) += n;
        }
    }

    /// Returns the running calls on the target `name`, or more when the name of another target has
    /// the same tag.
    pub fn on_target(&self, name: &str) -> u32 {
        self.targets.get(&NameHash::of(name)).copied().unwrap_or(0)
    }
}
