use std::sync::Arc;

use super::{Phase, Purpose, RackId};
use crate::clock::Instant;
use crate::fleet::{DataCentreId, PoolId};

/// An instance as a manager knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Unique name.
    pub name: Arc<str>,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Rack in which it runs.
    pub rack: RackId,
    /// Pool to which it belongs.
    pub pool: PoolId,
    /// Current phase.
    pub phase: Phase,
    /// Reason for the current drain, move or reboot.
    pub purpose: Option<Purpose>,
    /// Incarnation that a reboot ends.
    pub incarnation: u64,
    /// Time of the last planned reboot in seconds since 1970, 0 when there was none.
    pub maintained: u64,
    /// Time at which this manager first observed the phase.
    pub since: Instant,
    /// Version of the row, 0 when there is none.
    pub version: u64,
}
