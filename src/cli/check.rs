use std::fs::File;
use std::io::{self, Read as _, Write};
use std::path::Path;
use std::process::ExitCode;

use crate::document::{self, Kind, MAX_BYTES, Problem};
use crate::{fleet, settings};

/// Validates a file of settings or a fleet document and writes its problems to standard error.
///
/// Exits with 0 when the file is valid, with 2 when it is not, with 1 when it cannot be read.
///
/// ```
/// use std::process::ExitCode;
///
/// let path = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/rennes.jsonc");
/// assert_eq!(coriandernotch::cli::check(path.as_ref()), ExitCode::SUCCESS);
/// ```
pub fn check(path: &Path) -> ExitCode {
    check_to(path, &mut io::stderr().lock())
}

/// Does what [`check`] does and writes the problems to `out`.
///
/// ```
/// let mut out = Vec::new();
/// coriandernotch::cli::check_to("/no/such/file".as_ref(), &mut out);
/// assert!(out.starts_with(b"/no/such/file: cannot read: "));
/// ```
pub fn check_to(path: &Path, out: &mut impl Write) -> ExitCode {
    let file = path.display().to_string();
    let bytes = match read(path) {
        Ok(bytes) => bytes,
        Err(error) => {
            // Nothing is left to do when standard error is closed.
            let _ = writeln!(out, "{file}: cannot read: {error}");
            return ExitCode::from(1);
        }
    };
    match examine(&file, &bytes) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problems) => {
            for problem in problems {
                let _ = writeln!(out, "{problem}");
            }
            ExitCode::from(2)
        }
    }
}

/// Reads one byte more than is accepted at most, so that a longer file is refused unread.
fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let most = MAX_BYTES as u64 + 1;
    File::open(path)?.take(most).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn examine(file: &str, bytes: &[u8]) -> Result<(), Vec<Problem>> {
    let text = document::decode(file, bytes)?;
    let (tree, mut faults) = document::load(file, text)?;
    match document::kind(&tree) {
        Some(Kind::Settings) => settings::parse(file, text).map(drop),
        Some(Kind::Fleet) => fleet::parse(file, text).map(drop),
        None => {
            let accepted = || {
                "settings (an object with listen, platform, ...) or a fleet document \
                 (an object with data-centres, workspaces, pools, ...)"
                    .to_owned()
            };
            faults.refuse(&tree, tree.root(), accepted);
            let shapes = [settings::shape(), fleet::shape()];
            document::refuse_unknown_fields(&tree, &shapes, &mut faults);
            faults.finish(&tree)
        }
    }
}
