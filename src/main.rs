//! The `coriandernotch` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    coriandernotch::cli::run(std::env::args_os())
}
