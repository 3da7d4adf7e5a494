use std::path::Path;
use std::process::ExitCode;

use eyre::{Report, WrapErr};

use super::log::start_to_stdout;
use crate::entry::{self, Settings};

/// Exit code of settings that are not valid.
const INVALID: u8 = 2;

/// Runs one entry instance on the users' platform until SIGTERM or SIGINT.
pub(super) fn entry(path: &Path) -> ExitCode {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string());
    let settings = match text.and_then(|text| Settings::parse(&text)) {
        Ok(settings) => settings,
        Err(problem) => {
            eprintln!("coriandernotch: {}: {problem}", path.display());
            return ExitCode::from(INVALID);
        }
    };
    match run(settings, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coriandernotch: {error:#}");
            ExitCode::FAILURE
        }
    }
}

// One thread: an entry instance has a fraction of one processor.
#[tokio::main(flavor = "current_thread")]
async fn run(settings: Settings, path: &Path) -> Result<(), Report> {
    let _logger = start_to_stdout(settings.log.filter()).wrap_err("step=start-log")?;
    entry::run(settings, path).await
}
