use std::sync::Arc;

/// A machine of the fleet as the platform lists it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    /// Name of the machine.
    pub name: Arc<str>,
    /// Pool that it belongs to, which is the name of a service.
    pub pool: Arc<str>,
    /// Whether a worker can live there now.
    pub up: bool,
    /// Identity of the worker that lives there.
    pub worker: Arc<str>,
}
