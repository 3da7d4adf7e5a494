use super::{Size, WorkerId};

/// Workers of one rack, and the largest offer of any of them for each resource.
#[derive(Clone, Debug, Default)]
pub(super) struct Rack {
    pub(super) workers: Vec<WorkerId>,
    pub(super) largest_offer: Size,
}
