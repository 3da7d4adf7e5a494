use super::{RackId, Size};

/// Racks of one data centre, and the largest offer of any of its workers for each resource.
#[derive(Clone, Debug, Default)]
pub(super) struct DataCentre {
    pub(super) racks: Vec<RackId>,
    pub(super) largest_offer: Size,
    /// Taken out of service by operators; offers nothing.
    pub(super) out: bool,
    pub(super) capacity: Size,
}
