use std::sync::Arc;

use crate::fleet::TeamId;

/// Upper limit of one team in one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cap {
    /// Id of the team in this process.
    pub team: TeamId,
    /// Name, from which the split is hashed because ids differ between processes.
    pub name: Arc<str>,
    /// Most units that may run at once in the whole fleet.
    pub limit: u32,
}
