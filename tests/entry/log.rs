use std::fs::File;
use std::path::PathBuf;
use std::process::Stdio;

/// File with the log of an instance. It is printed if the test fails, and removed when it ends.
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
            let text = std::fs::read_to_string(&self.path).unwrap_or_default();
            println!("{}:\n{text}", self.path.display());
        }
        // Fails if the file was not created.
        let _ = std::fs::remove_file(&self.path);
    }
}
