use std::sync::Arc;

/// Workers and tasks of one service, as its leader sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Name of the service.
    pub service: Arc<str>,
    /// Workers on which tasks may be started.
    pub workers: usize,
    /// Other workers that are listed or have runs.
    pub unusable: usize,
    /// Processors of the usable workers, in thousandths.
    pub processors: u64,
    /// Processors in use on the usable workers, in thousandths.
    pub used: u64,
    /// Tasks that are ready to run but not running.
    pub waiting: usize,
    /// Runs that are present on workers or being started.
    pub running: usize,
}
