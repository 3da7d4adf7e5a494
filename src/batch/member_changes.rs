use std::sync::Arc;

use super::Member;

/// Changes of the stored members that a leader writes together with its next renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberChanges {
    /// Workers to record.
    pub added: Vec<Member>,
    /// Ids of workers to delete.
    pub removed: Vec<Arc<str>>,
}
