use crate::clock::Instant;
use crate::fleet::{Digest, ServiceId, TeamId};

/// What a caller asked for, as far as dispatch goes.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// Service that is called.
    pub service: ServiceId,
    /// Team to which the key belongs.
    pub team: TeamId,
    /// Digest of the key, checked again before sending.
    pub key: Digest,
    /// When the caller gives up.
    pub deadline: Instant,
}
