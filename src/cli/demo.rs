use std::process::ExitCode;

use log::LevelFilter;

use super::log::start;
use crate::demo::{Plan, run};

/// Runs the demonstration and prints its table.
pub(super) fn demo(plan: &Plan) -> ExitCode {
    let _logger = match start(LevelFilter::Warn) {
        Ok(logger) => logger,
        Err(error) => {
            eprintln!("coriandernotch: step=start-log cause={error}");
            return ExitCode::FAILURE;
        }
    };
    match run(plan) {
        Ok(summary) => {
            print!("{summary}");
            if summary.is_clean() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("coriandernotch: {error:#}");
            ExitCode::FAILURE
        }
    }
}
