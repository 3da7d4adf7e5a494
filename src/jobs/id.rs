use serde::{Deserialize, Serialize};
use slotmap::{DefaultKey, Key, KeyData};

use crate::arena_id::arena_ids;

arena_ids! {
    "jobs":
    /// Id of a worker.
    WorkerId,
    /// Id of a rack: workers that share a switch and a power supply.
    RackId,
    /// Id of a kind of job within a workspace; jobs of one kind use similar amounts of resources.
    KindId,
}

/// Id of a job in the arena of a [`Scheduler`](super::Scheduler).
// A newtype because `slotmap::new_key_type!` expands to an unsafe impl, which this crate forbids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub(super) DefaultKey);

impl JobId {
    /// Returns the id as a number, for stored rows and messages.
    pub fn number(self) -> u64 {
        self.0.data().as_ffi()
    }

    /// Returns the id with the given [`number`](Self::number).
    ///
    /// ```
    /// use coriandernotch::jobs::JobId;
    ///
    /// assert_eq!(JobId::from_number(0x1_0000_0007).number(), 0x1_0000_0007);
    /// ```
    pub fn from_number(number: u64) -> Self {
        Self(KeyData::from_ffi(number).into())
    }
}
