use std::sync::Arc;

/// A machine of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    /// Name of the machine.
    pub name: Arc<str>,
    /// Pool that it is currently in, named after a service.
    pub pool: Arc<str>,
    /// Whether it is running, so that it can be moved or shut down.
    pub up: bool,
    /// Processors in thousandths.
    pub processors: u64,
    /// Data centre that contains the machine.
    pub data_centre: Arc<str>,
}
