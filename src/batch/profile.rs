use std::sync::Arc;

use crate::jobs::Size;

/// What a worker reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Profile {
    /// Id of the worker process; a restarted worker has a new one.
    pub id: Arc<str>,
    /// Start time of the process in milliseconds since 1970; 0 if unknown.
    pub born_ms: u64,
    /// Service that the worker belongs to.
    pub service: Arc<str>,
    /// Address and port at which it accepts orders.
    pub address: Arc<str>,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Machine on which it runs; empty if unknown.
    pub machine: Arc<str>,
    /// Whether it is about to shut down.
    pub draining: bool,
    /// Total resources.
    pub capacity: Size,
    /// Labels, such as the kind of hardware; the last one is the rack.
    pub labels: Vec<Arc<str>>,
}
