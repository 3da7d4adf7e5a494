use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use salvo::{Response, handler};

/// Bounds of the time histograms in seconds, from the added time of a call to a long service.
const BOUNDS: [f64; 14] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0, 30.0,
];

/// Answers with all metrics in the text format of Prometheus.
pub(super) struct Scrape;

#[handler]
impl Scrape {
    async fn handle(&self, response: &mut Response) {
        response.render(handle().render());
    }
}

/// Installs the recorder of the process with the first call.
pub(super) fn handle() -> &'static PrometheusHandle {
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
