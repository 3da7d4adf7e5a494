use std::ffi::OsString;
use std::process::ExitCode;

use super::{
    Command, USAGE, apply, check, data_centre, demo, entry, explain, key, measure, read, serve,
};

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
        Command::Entry { settings } => entry::entry(&settings),
        Command::Check { file } => check(&file),
        Command::Explain { id, files } => explain::explain(&id, &files),
        Command::Apply {
            file,
            to,
            if_version,
            wait,
        } => apply::apply(&file, to, if_version, wait),
        Command::Diff { file, to, format } => read::diff(&file, to, format),
        Command::Status { to, format } => read::status(to, format),
        Command::History { to, format } => read::history(to, format),
        Command::DataCentre {
            name,
            state,
            to,
            wait,
        } => data_centre::data_centre(to, &name, state, wait),
        Command::KeyIssue {
            workspace,
            name,
            to,
            wait,
        } => key::issue(to, &workspace, &name, wait),
        Command::KeyWithdraw {
            workspace,
            name,
            to,
            wait,
        } => key::withdraw(to, &workspace, &name, wait),
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
