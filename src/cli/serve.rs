use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use eyre::{Report, WrapErr, eyre};
use tokio::signal::unix::{SignalKind, signal};

use super::log::start;
use crate::node::Node;
use crate::platform::{Platform, http};
use crate::settings::{self, Settings};

/// Runs one entry instance until SIGTERM or SIGINT.
pub(super) fn serve(path: &Path) -> ExitCode {
    let settings = match read(path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coriandernotch: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings, or reports what is wrong like the command `check`.
fn read(path: &Path) -> Result<Settings, ExitCode> {
    let code = super::check(path);
    if code != ExitCode::SUCCESS {
        return Err(code);
    }
    let text = std::fs::read_to_string(path).unwrap_or_default();
    settings::parse(&path.display().to_string(), &text).map_err(|problems| {
        problems.iter().for_each(|problem| eprintln!("{problem}"));
        ExitCode::from(2)
    })
}

#[tokio::main]
async fn run(settings: Settings) -> Result<(), Report> {
    let _logger = start(settings.log.filter()).wrap_err("step=start-log")?;
    let platform = connect(&settings)?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("step=signal")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("step=signal")?;
    let node = tokio::select! {
        node = Node::start(settings, platform) => node?,
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.lost() => {}
    }
    node.stop().await;
    Ok(())
}

fn connect(settings: &Settings) -> Result<Platform, Report> {
    let client = |name: &str, addresses: &[std::net::SocketAddr]| {
        let (first, others) = addresses
            .split_first()
            .ok_or_else(|| eyre!("step=connect peer={name}"))?;
        Ok::<_, Report>(Arc::new(http::Client::with_addresses(*first, others)))
    };
    Ok(Platform {
        table: client("table", &settings.platform.table)?,
        objects: client("objects", &settings.platform.objects)?,
        listing: client("listing", &settings.platform.listing)?,
        machines: client("listing", &settings.platform.listing)?,
    })
}
