use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::{Report, WrapErr, eyre};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, Semaphore, watch};

use super::commit;
use super::committer::Committer;
use super::drain::Drain;
use super::settings::Settings;
use super::shared::{Shared, unix_time_ms};
use super::supervise::supervise;
use super::{caller_port, follow_desired, lead, readiness, telemetry};
use crate::batch::admission::Room;
use crate::clock;
use crate::intake::{self, Port, Registry};
use crate::platform::api::Store;

/// Largest number of look-ups at once of jobs for which there is no memory.
const MAX_LOOK_UPS: usize = 8;

/// Runs an entry instance until SIGTERM or SIGINT, with settings that were read from `path`.
///
/// # Errors
///
/// Names the step that failed.
pub async fn run(settings: Settings, path: &Path) -> Result<(), Report> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("step=signal")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("step=signal")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("step=signal")?;
    let limits = settings.intake();
    let listen = |address, port| intake::listen(address, port, &limits);
    let caller_listener = listen(settings.callers, Port::Callers).wrap_err("step=bind-callers")?;
    let readiness_listener =
        listen(settings.readiness, Port::Readiness).wrap_err("step=bind-readiness")?;
    let metrics_listener = match settings.metrics {
        Some(address) => Some(listen(address, Port::Metrics).wrap_err("step=bind-metrics")?),
        None => None,
    };
    let shared = Arc::new(Shared {
        incarnation: unix_time_ms(),
        store: Store::new(settings.store),
        desired: Mutex::default(),
        committer: Committer::new(settings.spread_jobs),
        leader: Mutex::default(),
        admission: Mutex::default(),
        room: Mutex::new(Room::new(settings.job_bytes())),
        look_ups: Semaphore::new(MAX_LOOK_UPS),
        attempts: Mutex::default(),
        term: Mutex::default(),
        stopping: AtomicBool::new(false),
        stop: Notify::new(),
        registry: Registry::new(limits),
        settings,
    });
    log::info!(event = "instance-started", name = shared.settings.name,
        data_centre = shared.settings.data_centre; "");
    tokio::spawn(supervise("store-jobs", {
        let shared = shared.clone();
        move || commit::store(shared.clone())
    }));
    let (close, closing) = watch::channel(false);
    tokio::spawn(shared.registry.clone().sweep());
    tokio::spawn(supervise("follow-desired", {
        let shared = shared.clone();
        move || follow_desired::follow_desired(shared.clone())
    }));
    tokio::spawn(readiness::serve(shared.clone(), readiness_listener));
    if let Some(listener) = metrics_listener {
        // Installed only if metrics are served: otherwise samples of histograms would accumulate
        // without ever being rendered.
        crate::telemetry::install();
        tokio::spawn(telemetry::serve(shared.clone(), listener));
    }
    let accept_task = tokio::spawn(caller_port::accept(
        shared.clone(),
        caller_listener,
        closing,
    ));
    let lead_task = tokio::spawn(supervise("lead", {
        let shared = shared.clone();
        move || lead::lead(shared.clone())
    }));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(path),
            _ = tokio::time::sleep(Duration::from_secs(3_600)) => {}
        }
    }
    let grace = Duration::from_secs_f64(shared.settings.bounds.grace_s.max(0.1));
    let drain = Drain::within(grace);
    log::info!(event = "instance-stopping"; "");
    shared.stopping.store(true, Ordering::Release);
    shared.stop.notify_waiters();
    shared.stop.notify_one();
    shared
        .committer
        .close(clock::now() + drain.accept + drain.finish);
    tokio::time::sleep(drain.accept).await;
    // Connections close after their current request.
    let _ = close.send(true);
    let closed = tokio::time::timeout(drain.finish, close.closed());
    // A leader resigns and hands its runs over to the next one.
    let resigned = tokio::time::timeout(drain.finish, lead_task);
    let (closed, resigned) = tokio::join!(closed, resigned);
    log::info!(event = "instance-stopped", all_served = closed.is_ok(),
        resigned = resigned.is_ok(); "");
    accept_task
        .await
        .map_err(|error| eyre!("step=stop: {error}"))
}

/// Reads the settings again after SIGHUP and applies the log level. The other settings are only
/// checked; they take effect at the next start.
fn reload(path: &Path) {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string());
    match text.and_then(|text| Settings::parse(&text)) {
        Ok(settings) => {
            log::set_max_level(settings.log.filter());
            log::info!(event = "settings-reloaded"; "");
        }
        Err(problem) => log::error!(event = "settings-invalid", problem; ""),
    }
}
