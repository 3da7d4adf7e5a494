use super::{Size, WorkerId};

/// Workers of one rack and the largest offer per resource among them.
#[derive(Clone, Debug, Default)]
pub(super) struct Rack {
    pub(super) workers: Vec<WorkerId>,
    pub(super) largest: Size,
}
