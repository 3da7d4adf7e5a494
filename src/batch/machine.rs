use std::sync::Arc;

/// A machine of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    /// Name of the machine.
    pub name: Arc<str>,
    /// Pool that it belongs to, which is the name of a service.
    pub pool: Arc<str>,
    /// Whether it can be ordered to move or to go down.
    pub up: bool,
    /// Thousandths of a processor that it has.
    pub processors: u64,
    /// Data centre.
    pub data_centre: Arc<str>,
}
