use std::sync::Arc;

use metrics::gauge;
use salvo::{Response, handler};

use crate::clock;
use crate::node::Shared;
use crate::telemetry;

/// Answers with all metrics in the text format of Prometheus.
pub(super) struct Scrape(pub(super) Arc<Shared>);

#[handler]
impl Scrape {
    async fn handle(&self, response: &mut Response) {
        telemetry::install();
        self.gauge();
        response.render(telemetry::render());
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
