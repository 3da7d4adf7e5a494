//! Memory use of the state.

use std::mem::size_of;
use std::sync::Arc;

use super::{Instance, InstanceId, Pool, RackId, Shortfall, State};
use crate::fleet::PoolId;

/// Size of the two reference counts that an `Arc<str>` allocates besides its text.
const ARC_COUNTS_BYTES: usize = 2 * size_of::<usize>();

impl State {
    /// Returns the bytes that the state has allocated, names included.
    ///
    /// Computed from capacities, because the resident memory of the process does not grow when the
    /// allocator reuses memory that was freed before.
    ///
    /// ```
    /// assert!(coriandernotch::pools::State::example(2, 4).allocated_bytes() < 16 * 1024);
    /// ```
    pub fn allocated_bytes(&self) -> usize {
        // A hash map allocates one control byte for each slot.
        let map_bytes = |slots: usize, entry_bytes: usize| slots * (entry_bytes + 1);
        let pools = self.pools().map(|(_, pool)| {
            pool.members.capacity() * size_of::<InstanceId>()
                + pool.shortfalls.capacity() * size_of::<(PoolId, Shortfall)>()
                + pool.name.len()
                + ARC_COUNTS_BYTES
        });
        let names = self
            .instances
            .iter()
            .map(|i| i.name.len() + ARC_COUNTS_BYTES);
        let racks = self
            .rack_names
            .iter()
            .map(|name| name.len() + ARC_COUNTS_BYTES);
        self.instances.capacity() * size_of::<Instance>()
            + self.pools.capacity() * size_of::<Option<Pool>>()
            + map_bytes(
                self.instance_ids.capacity(),
                size_of::<(Arc<str>, InstanceId)>(),
            )
            + map_bytes(self.rack_ids.capacity(), size_of::<(Arc<str>, RackId)>())
            + self.rack_names.capacity() * size_of::<Arc<str>>()
            + pools.sum::<usize>()
            + names.sum::<usize>()
            + racks.sum::<usize>()
    }
}
