/// Processors at work in one step.
#[derive(Default)]
pub(super) struct Throughput {
    /// In data centres that are in service.
    pub(super) in_service: f64,
    pub(super) total: f64,
}
