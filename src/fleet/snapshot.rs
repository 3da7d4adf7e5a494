use std::sync::Arc;

use super::{
    DataCentre, DataCentreId, Digest, Direction, Document, Pool, PoolId, Queue, QueueId, Registry,
    Service, ServiceId, Workspace, WorkspaceId,
};
use crate::collections::Map;

/// One version of the declared fleet, indexed for lookups by id and by name.
#[derive(Debug, Default)]
pub struct Snapshot {
    version: u64,
    document: Option<Arc<Document>>,
    workspaces: Vec<Option<Workspace>>,
    services: Vec<Option<Service>>,
    pools: Vec<Option<Pool>>,
    data_centres: Vec<Option<DataCentre>>,
    queues: Vec<Option<Queue>>,
    /// Workspaces that may call each service; `Some(None)` means all workspaces.
    callers: Vec<Option<Option<Vec<WorkspaceId>>>>,
    /// Pool of each service; `Some(None)` means that the document has no such pool.
    service_pools: Vec<Option<Option<PoolId>>>,
    workspace_ids: Map<Arc<str>, WorkspaceId>,
    service_ids: Map<Arc<str>, ServiceId>,
    pool_ids: Map<Arc<str>, PoolId>,
    data_centre_ids: Map<Arc<str>, DataCentreId>,
    queue_ids: Map<Arc<str>, QueueId>,
    instance_pools: Map<Arc<str>, PoolId>,
    /// Workspace of each valid key, by the digest of its secret.
    keys: Map<Digest, WorkspaceId>,
    /// Workspaces sorted by name. Ids depend on the history of a process; this order is the same at
    /// all instances of a version.
    ranked_workspaces: Vec<WorkspaceId>,
    /// Services sorted by name, in the same order at all instances of a version.
    ranked_services: Vec<ServiceId>,
}

impl Snapshot {
    /// Builds the snapshot of `document`, which has the number `version`.
    ///
    /// ```
    /// use coriandernotch::fleet::{Document, Registry, Snapshot};
    ///
    /// let text = r#"{"name": "f", "data-centres": [], "workspaces": [
    ///     {"name": "quotes", "share": 1, "limit": 5}], "pools": []}"#;
    /// let document: Document = serde_json::from_str(text).unwrap();
    /// let snapshot = Snapshot::build(7, document.into(), &mut Registry::default());
    /// let workspace = snapshot.workspace_id("quotes").unwrap();
    /// assert_eq!(snapshot.workspace(workspace).unwrap().limit, 5);
    /// ```
    pub fn build(version: u64, document: Arc<Document>, registry: &mut Registry) -> Self {
        let mut snapshot = Self {
            version,
            ..Self::default()
        };
        for workspace in &document.workspaces {
            let id = registry.workspace(&workspace.name);
            snapshot.workspace_ids.insert(workspace.name.clone(), id);
            snapshot.keys.extend(
                workspace
                    .keys
                    .iter()
                    .filter(|k| !k.withdrawn)
                    .map(|k| (k.digest, id)),
            );
            insert_at(&mut snapshot.workspaces, id.index(), workspace.clone());
        }
        for pool in &document.pools {
            let id = registry.pool(&pool.name);
            snapshot.pool_ids.insert(pool.name.clone(), id);
            snapshot
                .instance_pools
                .extend(pool.instances.iter().map(|name| (name.clone(), id)));
            insert_at(&mut snapshot.pools, id.index(), pool.clone());
        }
        for data_centre in &document.data_centres {
            let id = registry.data_centre(&data_centre.name);
            snapshot
                .data_centre_ids
                .insert(data_centre.name.clone(), id);
            insert_at(&mut snapshot.data_centres, id.index(), data_centre.clone());
        }
        for service in &document.services {
            let id = registry.service(&service.name);
            snapshot.service_ids.insert(service.name.clone(), id);
            let callers = snapshot.allowed_workspaces(&service.workspaces);
            let pool = snapshot.pool_ids.get(&service.pool).copied();
            insert_at(&mut snapshot.callers, id.index(), callers);
            insert_at(&mut snapshot.service_pools, id.index(), pool);
            insert_at(&mut snapshot.services, id.index(), service.clone());
        }
        for queue in &document.queues {
            let id = registry.queue(&queue.name);
            snapshot.queue_ids.insert(queue.name.clone(), id);
            insert_at(&mut snapshot.queues, id.index(), queue.clone());
        }
        snapshot.ranked_workspaces = sort_by_name(&snapshot.workspace_ids);
        snapshot.ranked_services = sort_by_name(&snapshot.service_ids);
        snapshot.document = Some(document);
        snapshot
    }

    /// Returns the version number, which is 0 before the first document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the document from which the snapshot was built.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns the id of a workspace by name.
    pub fn workspace_id(&self, name: &str) -> Option<WorkspaceId> {
        self.workspace_ids.get(name).copied()
    }

    /// Returns the id of a service by name.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        self.service_ids.get(name).copied()
    }

    /// Returns the id of a pool by name.
    pub fn pool_id(&self, name: &str) -> Option<PoolId> {
        self.pool_ids.get(name).copied()
    }

    /// Returns the id of a data centre by name.
    pub fn data_centre_id(&self, name: &str) -> Option<DataCentreId> {
        self.data_centre_ids.get(name).copied()
    }

    /// Returns the id of a queue by name.
    pub fn queue_id(&self, name: &str) -> Option<QueueId> {
        self.queue_ids.get(name).copied()
    }

    /// Returns the workspace with the given id, unless this version has none.
    pub fn workspace(&self, id: WorkspaceId) -> Option<&Workspace> {
        self.workspaces.get(id.index())?.as_ref()
    }

    /// Returns the service with the given id, unless this version has none.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(id.index())?.as_ref()
    }

    /// Returns the pool with the given id, unless this version has none.
    pub fn pool(&self, id: PoolId) -> Option<&Pool> {
        self.pools.get(id.index())?.as_ref()
    }

    /// Returns the data centre with the given id, unless this version has none.
    pub fn data_centre(&self, id: DataCentreId) -> Option<&DataCentre> {
        self.data_centres.get(id.index())?.as_ref()
    }

    /// Returns the queue with the given id, unless this version has none.
    pub fn queue(&self, id: QueueId) -> Option<&Queue> {
        self.queues.get(id.index())?.as_ref()
    }

    /// Lists the workspaces of this version.
    pub fn workspaces(&self) -> impl Iterator<Item = (WorkspaceId, &Workspace)> {
        (0..)
            .zip(&self.workspaces)
            .filter_map(|(i, w)| Some((WorkspaceId(i), w.as_ref()?)))
    }

    /// Lists the services of this version.
    pub fn services(&self) -> impl Iterator<Item = (ServiceId, &Service)> {
        (0..)
            .zip(&self.services)
            .filter_map(|(i, s)| Some((ServiceId(i), s.as_ref()?)))
    }

    /// Returns the workspaces sorted by name, the same order at all instances of a version.
    pub fn ranked_workspaces(&self) -> &[WorkspaceId] {
        &self.ranked_workspaces
    }

    /// Returns the services sorted by name, the same order at all instances of a version.
    pub fn ranked_services(&self) -> &[ServiceId] {
        &self.ranked_services
    }

    /// Returns the pool to which the document assigns an instance.
    pub fn pool_of(&self, instance: &str) -> Option<PoolId> {
        self.instance_pools.get(instance).copied()
    }

    /// Returns the pool whose instances are the targets of a service.
    pub fn service_pool(&self, id: ServiceId) -> Option<PoolId> {
        self.service_pools.get(id.index()).copied().flatten()?
    }

    /// Returns the workspace of a key, unless the key is unknown or withdrawn.
    pub fn authenticate(&self, key: &Digest) -> Option<WorkspaceId> {
        let (digest, workspace) = self.keys.get_key_value(key)?;
        digest.matches(key).then_some(*workspace)
    }

    /// Returns whether a workspace may call a service.
    pub fn may_call(&self, workspace: WorkspaceId, service: ServiceId) -> bool {
        match self.callers.get(service.index()) {
            Some(Some(Some(workspaces))) => workspaces.contains(&workspace),
            Some(Some(None)) => true,
            _ => false,
        }
    }

    /// Returns whether new work may start in a data centre.
    pub fn is_in(&self, id: DataCentreId) -> bool {
        self.data_centre(id)
            .is_some_and(|d| d.state == Direction::In)
    }

    fn allowed_workspaces(&self, names: &[Arc<str>]) -> Option<Vec<WorkspaceId>> {
        (!names.is_empty()).then(|| names.iter().filter_map(|n| self.workspace_id(n)).collect())
    }
}

fn sort_by_name<T: Copy>(ids: &Map<Arc<str>, T>) -> Vec<T> {
    let mut named: Vec<_> = ids.iter().collect();
    named.sort_by(|a, b| a.0.cmp(b.0));
    named.into_iter().map(|(_, id)| *id).collect()
}

fn insert_at<T>(arena: &mut Vec<Option<T>>, index: usize, value: T) {
    if arena.len() <= index {
        arena.resize_with(index + 1, || None);
    }
    arena[index] = Some(value);
}
