use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Bounds of the time histograms in seconds, from the added time of a call to a long job.
const BOUNDS: [f64; 16] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 2.5, 5.0,
    10.0, 30.0,
];

/// Installs the recorder of the process with the first call. What is measured before is lost.
///
/// ```
/// coriandernotch::telemetry::install();
/// metrics::counter!("example_total").increment(1);
/// assert!(coriandernotch::telemetry::render().contains("example_total 1"));
/// ```
pub fn install() {
    handle();
}

/// Returns all metrics as text. Samples of histograms are kept until then, so it must be called
/// from time to time.
pub fn render() -> String {
    handle().render()
}

fn handle() -> &'static PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        let builder = builder
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &BOUNDS)
            .expect("the bounds are not empty");
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!(event = "metrics-recorder-taken"; "");
        }
        handle
    })
}
