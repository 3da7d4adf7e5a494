/// What the runs on a worker meet in one step.
#[derive(Clone, Copy)]
pub(super) struct Condition {
    /// Part of their speed that runs reach; a worker beyond its capacity slows them all down.
    pub(super) factor: f64,
    /// Whether each run fails.
    pub(super) faulty: bool,
    /// Whether the data centre of the worker is out of service.
    pub(super) is_out: bool,
}
