//! Memory of the state.

use std::mem::size_of;
use std::sync::Arc;

use super::{Cover, Instance, InstanceId, Pool, RackId, State};
use crate::fleet::PoolId;

/// Counts of an `Arc<str>` besides its text.
const ARC: usize = 2 * size_of::<usize>();

impl State {
    /// Returns the bytes that the state has allocated, names included.
    ///
    /// Counted from capacities, because the resident memory of the process hides what an
    /// allocator takes from memory that was freed before.
    ///
    /// ```
    /// assert!(coriandernotch::pools::State::example(2, 4).bytes() < 16 * 1024);
    /// ```
    pub fn bytes(&self) -> usize {
        // A hash map allocates one control byte for each place.
        let map = |places: usize, entry: usize| places * (entry + 1);
        let pools = self.pools().map(|(_, pool)| {
            pool.members.capacity() * size_of::<InstanceId>()
                + pool.cover.capacity() * size_of::<(PoolId, Cover)>()
                + pool.name.len()
                + ARC
        });
        let names = self.instances.iter().map(|i| i.name.len() + ARC);
        let racks = self.racks.iter().map(|name| name.len() + ARC);
        self.instances.capacity() * size_of::<Instance>()
            + self.pools.capacity() * size_of::<Option<Pool>>()
            + map(self.names.capacity(), size_of::<(Arc<str>, InstanceId)>())
            + map(self.rack_ids.capacity(), size_of::<(Arc<str>, RackId)>())
            + self.racks.capacity() * size_of::<Arc<str>>()
            + pools.sum::<usize>()
            + names.sum::<usize>()
            + racks.sum::<usize>()
    }
}
