use std::ffi::OsString;
use std::process::ExitCode;

use super::{Command, USAGE, apply, check, demo, measure, serve, status};

/// Exit code of wrong usage.
const WRONG_USAGE: u8 = 2;

/// Runs the program with its arguments and returns its exit code.
///
/// ```
/// use std::process::ExitCode;
///
/// let code = coriandernotch::cli::run(["coriandernotch", "--version"].map(Into::into));
/// assert_eq!(code, ExitCode::SUCCESS);
/// ```
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = match Command::parse(args) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("coriandernotch: {error}\n{USAGE}");
            return ExitCode::from(WRONG_USAGE);
        }
    };
    match command {
        Command::Help => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        Command::Version => {
            println!("coriandernotch {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Serve { settings } => serve::serve(&settings),
        Command::Check { file } => check(&file),
        Command::Apply {
            file,
            to,
            if_version,
        } => apply::apply(&file, to, if_version),
        Command::Status { to } => status::status(to),
        Command::Measure {
            shape,
            seed,
            format,
        } => measure::measure(shape, seed, format),
        Command::Demo {
            seconds,
            seed,
            shape,
            report,
            hold,
        } => demo::demo(&crate::demo::Plan {
            seconds,
            seed,
            shape,
            report,
            hold,
        }),
    }
}
