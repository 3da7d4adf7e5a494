use slotmap::new_key_type;

use crate::clock::Instant;
use crate::fleet::WorkspaceId;

new_key_type! {
    /// Key of a waiting call in [`super::Queues`].
    pub struct Ticket;
}

/// Call that waits for a slot.
#[derive(Debug)]
pub struct Waiting<T> {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Time at which the call was queued.
    pub since: Instant,
    /// Time by which the call must have ended.
    pub deadline: Instant,
    /// Data of the caller of [`super::Queues::push`], such as the channel that wakes the waiting task.
    pub value: T,
}
