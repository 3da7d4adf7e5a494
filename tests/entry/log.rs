use std::fs::File;
use std::path::PathBuf;
use std::process::Stdio;

use crate::log_end::print_end;

/// File with the log of an instance. Its end is printed if the test fails, and it is removed when
/// the test ends.
pub(crate) struct Log {
    path: PathBuf,
}

impl Log {
    pub(crate) fn new(name: &str) -> Self {
        let file = format!("coriandernotch-{}-{name}.log", std::process::id());
        let path = std::env::temp_dir().join(file);
        Self { path }
    }

    /// Creates the file, as the standard output of an instance.
    pub(crate) fn create(&self) -> Stdio {
        File::create(&self.path).unwrap().into()
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        if std::thread::panicking() {
            print_end(&self.path);
        }
        // Fails if the file was not created.
        let _ = std::fs::remove_file(&self.path);
    }
}
