use super::{RackId, Size};

/// Racks of one data centre and the largest offer per resource among them.
#[derive(Clone, Debug, Default)]
pub(super) struct Site {
    pub(super) racks: Vec<RackId>,
    pub(super) largest: Size,
    /// Taken out by operators.
    pub(super) out: bool,
    pub(super) capacity: Size,
}
