//! Logs of processes, printed where a test fails.

use std::path::Path;

/// Lines printed of one log.
const MAX_LINES: usize = 1_000;

/// Prints the last lines of the log of a process.
pub(crate) fn print_end(path: &Path) {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    let last = &lines[lines.len().saturating_sub(MAX_LINES)..];
    println!("{}:\n{}", path.display(), last.join("\n"));
}
