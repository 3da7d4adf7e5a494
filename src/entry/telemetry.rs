use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use metrics::gauge;
use tokio::net::TcpListener;

use super::admin_port::{self, HttpResponse};
use super::shared::Shared;
use super::term::Term;
use crate::batch::Load;
use crate::intake::Port;
use crate::{clock, telemetry};

/// Path at which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Time between two renderings without a request: samples of histograms accumulate until the next
/// rendering.
const RENDER_INTERVAL: Duration = Duration::from_secs(30);

/// Serves the metrics of this instance and renders them regularly.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    tokio::spawn(async {
        loop {
            tokio::time::sleep(RENDER_INTERVAL).await;
            telemetry::render();
        }
    });
    let registry = shared.registry.clone();
    admin_port::serve(registry, Port::Metrics, listener, move |request| {
        respond(&shared, request.uri().path())
    })
    .await;
}

fn respond(shared: &Shared, path: &str) -> HttpResponse {
    if path != METRICS_PATH {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    set_gauges(shared);
    Response::new(Full::new(Bytes::from(telemetry::render())))
}

/// Sets the gauges from the current state, at each request for the metrics.
fn set_gauges(shared: &Shared) {
    shared.registry.set_gauges();
    let now = clock::now();
    let flag = |value: bool| f64::from(u8::from(value));
    gauge!("instance_ready").set(flag(shared.has_fresh_config(now) && !shared.is_stopping()));
    let [waiting, in_flight, limit] = shared.committer.counts();
    gauge!("submissions_waiting").set(waiting as f64);
    gauge!("store_writes_in_flight").set(in_flight as f64);
    gauge!("store_writes_limit").set(limit as f64);
    let term = shared.term();
    gauge!("instance_leads").set(flag(term.is_some()));
    let outlook_age = {
        let admission = shared.admission.lock().expect("admission lock");
        admission.age(shared.store.clock_ms(now), now)
    };
    gauge!("outlook_age_seconds").set(outlook_age.map_or(f64::NAN, |age| age.as_secs_f64()));
    let config = shared.desired.lock().expect("desired lock").config();
    gauge!("config_version").set(config.map_or(0, |config| config.version) as f64);
    let Some(term) = term else {
        return;
    };
    gauge!("leader_token").set(term.token as f64);
    set_estimates(&term);
    for load in term.engine().loads(now) {
        set_load(&load);
    }
}

fn set_estimates(term: &Term) {
    let (images, error) = term.engine().estimate_error();
    gauge!("estimate_images").set(images as f64);
    gauge!("estimate_error_factor", "source" => "declared").set(error.declared());
    gauge!("estimate_error_factor", "source" => "learned").set(error.learned());
}

fn set_load(load: &Load) {
    let service = || load.service.to_string();
    gauge!("workers_usable", "service" => service()).set(load.workers as f64);
    gauge!("workers_unusable", "service" => service()).set(load.unusable as f64);
    gauge!("processors", "service" => service()).set(load.processors as f64 / 1_000.0);
    gauge!("processors_used", "service" => service()).set(load.used as f64 / 1_000.0);
    gauge!("tasks_waiting", "service" => service()).set(load.waiting as f64);
    gauge!("tasks_running", "service" => service()).set(load.running as f64);
}
