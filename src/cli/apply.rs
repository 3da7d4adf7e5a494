use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use hyper::StatusCode;

use super::operator::call;

/// Exit code when another operator was first.
const CONFLICT: u8 = 3;

/// Exit code when it is unknown whether the document is in force.
const UNKNOWN: u8 = 4;

/// Puts a fleet document in force through an entry instance.
pub(super) fn apply(path: &Path, to: SocketAddr, if_version: Option<u64>) -> ExitCode {
    let code = super::check(path);
    if code != ExitCode::SUCCESS {
        return code;
    }
    let content = match std::fs::read(path) {
        Ok(content) => content,
        Err(error) => {
            eprintln!("{}: cannot read: {error}", path.display());
            return ExitCode::FAILURE;
        }
    };
    match call(to, "PUT", "/v1/fleet", if_version, content.into()) {
        Ok((StatusCode::OK, body)) => {
            println!("{body}");
            ExitCode::SUCCESS
        }
        Ok((status, body)) => {
            eprintln!("{status}: {body}");
            match status {
                StatusCode::PRECONDITION_FAILED => ExitCode::from(CONFLICT),
                StatusCode::GATEWAY_TIMEOUT => ExitCode::from(UNKNOWN),
                StatusCode::UNPROCESSABLE_ENTITY => ExitCode::from(2),
                _ => ExitCode::FAILURE,
            }
        }
        Err(error) => {
            eprintln!("coriandernotch: {error:#}");
            ExitCode::FAILURE
        }
    }
}
