use std::path::PathBuf;
use std::process::ExitCode;

use crate::explain::Timeline;

/// Exit code when a file cannot be read or no line names the request.
const NOTHING: u8 = 1;

/// Prints what the logs tell of one request.
pub(super) fn explain(id: &str, files: &[PathBuf]) -> ExitCode {
    let mut logs = Vec::new();
    for file in files {
        match std::fs::read(file) {
            Ok(bytes) => {
                let name = file.file_stem().unwrap_or(file.as_os_str());
                let text = String::from_utf8_lossy(&bytes).into_owned();
                logs.push((name.to_string_lossy().into_owned(), text));
            }
            Err(error) => {
                eprintln!("coriandernotch: {}: cannot read: {error}", file.display());
                return ExitCode::from(NOTHING);
            }
        }
    }
    let logs = logs.iter().map(|(name, text)| (&**name, &**text));
    let timeline = Timeline::gather(id, logs);
    if timeline.is_empty() {
        eprintln!("coriandernotch: no line of these logs names {id}");
        return ExitCode::from(NOTHING);
    }
    print!("{timeline}");
    ExitCode::SUCCESS
}
