use crate::clock::Instant;
use crate::fleet::{Digest, ServiceId, WorkspaceId};

/// The properties of a call that its dispatch depends on.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// Called service.
    pub service: ServiceId,
    /// Workspace to which the key belongs.
    pub workspace: WorkspaceId,
    /// Digest of the caller's key, checked again immediately before the call is sent.
    pub key: Digest,
    /// Time at which the caller stops waiting for an answer.
    pub deadline: Instant,
}
