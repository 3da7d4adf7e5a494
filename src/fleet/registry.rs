use std::sync::Arc;

use super::{DataCentreId, PoolId, QueueId, ServiceId, WorkspaceId};
use crate::collections::Map;

/// Assigns ids to names. An id is never reused and stays assigned until the process exits.
#[derive(Debug, Default)]
pub struct Registry {
    workspaces: Names,
    services: Names,
    pools: Names,
    data_centres: Names,
    queues: Names,
}

/// Ids of the names of one kind, numbered in the order of first use.
#[derive(Debug, Default)]
struct Names(Map<Arc<str>, u32>);

impl Names {
    fn intern(&mut self, name: &Arc<str>) -> u32 {
        let next_id = u32::try_from(self.0.len()).expect("number of names fits in u32");
        *self.0.entry(name.clone()).or_insert(next_id)
    }
}

impl Registry {
    pub(crate) fn workspace(&mut self, name: &Arc<str>) -> WorkspaceId {
        WorkspaceId(self.workspaces.intern(name))
    }

    pub(crate) fn service(&mut self, name: &Arc<str>) -> ServiceId {
        ServiceId(self.services.intern(name))
    }

    pub(crate) fn pool(&mut self, name: &Arc<str>) -> PoolId {
        PoolId(self.pools.intern(name))
    }

    pub(crate) fn data_centre(&mut self, name: &Arc<str>) -> DataCentreId {
        DataCentreId(self.data_centres.intern(name))
    }

    pub(crate) fn queue(&mut self, name: &Arc<str>) -> QueueId {
        QueueId(self.queues.intern(name))
    }
}
