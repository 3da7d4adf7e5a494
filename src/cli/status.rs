use std::net::SocketAddr;
use std::process::ExitCode;

use bytes::Bytes;

use super::operator::call;

/// Prints what an entry instance knows, in JSON.
pub(super) fn status(to: SocketAddr) -> ExitCode {
    match call(to, "GET", "/v1/status", None, Bytes::new()) {
        Ok((status, body)) if status.is_success() => {
            println!("{body}");
            ExitCode::SUCCESS
        }
        Ok((status, body)) => {
            eprintln!("{status}: {body}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("coriandernotch: {error:#}");
            ExitCode::FAILURE
        }
    }
}
