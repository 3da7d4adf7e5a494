use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use super::change::put;
use super::exit::Exit;

/// Puts a fleet document in force through an entry instance.
pub(super) fn apply(path: &Path, to: SocketAddr, base: Option<u64>, wait: bool) -> ExitCode {
    match read(path) {
        Ok(content) => put(to, content, base, wait, false).into(),
        Err(code) => code,
    }
}

/// Reads a file that `check` accepts.
pub(super) fn read(path: &Path) -> Result<Vec<u8>, ExitCode> {
    let code = super::check(path);
    if code != ExitCode::SUCCESS {
        return Err(code);
    }
    std::fs::read(path).map_err(|error| {
        eprintln!("{}: cannot read: {error}", path.display());
        Exit::Failed.into()
    })
}
