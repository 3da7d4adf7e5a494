use std::sync::Arc;

use crate::jobs::Size;

/// What a worker says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Offer {
    /// Identity of this life of the worker.
    pub id: Arc<str>,
    /// Start of this life in milliseconds since 1970; 0 when it is not given.
    pub born_ms: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address and port.
    pub address: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Machine that it lives on; empty when it is not given.
    pub machine: Arc<str>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// What it has in all.
    pub capacity: Size,
    /// Kind and rack.
    pub labels: Vec<Arc<str>>,
}
