use crate::arena_id::arena_ids;

arena_ids! {
    "fleet":
    /// Identifies a workspace.
    WorkspaceId,
    /// Identifies a service.
    ServiceId,
    /// Identifies a pool.
    PoolId,
    /// Identifies a data centre.
    DataCentreId,
    /// Identifies a queue of jobs.
    QueueId,
}
