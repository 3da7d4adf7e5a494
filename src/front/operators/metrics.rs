use std::sync::{Arc, OnceLock};

use metrics::gauge;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use salvo::{Response, handler};

use crate::clock;
use crate::node::Shared;

/// Bounds of the time histograms in seconds, from the added time of a call to a long service.
const BOUNDS: [f64; 14] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0, 30.0,
];

/// Answers with all metrics in the text format of Prometheus.
pub(super) struct Scrape(pub(super) Arc<Shared>);

#[handler]
impl Scrape {
    async fn handle(&self, response: &mut Response) {
        let handle = handle();
        self.gauge();
        response.render(handle.render());
    }
}

impl Scrape {
    /// Sets the gauges, which are read off the state at each scrape.
    fn gauge(&self) {
        let (shared, now) = (&self.0, clock::now());
        let dispatcher = shared.control.dispatcher();
        let labels = [("instance", shared.member.name.to_string())];
        let set = |name: &'static str, value: f64| gauge!(name, &labels).set(value);
        let version = shared.control.current().map_or(0, |c| c.version());
        set("config_version", version as f64);
        set(
            "config_fresh",
            f64::from(u8::from(dispatcher.is_fresh(now))),
        );
        set("instance_ready", f64::from(u8::from(shared.is_ready(now))));
        set("peers_connected", shared.hub.links().len() as f64);
        set("calls_running", dispatcher.running() as f64);
        set("calls_waiting", dispatcher.waiting() as f64);
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
