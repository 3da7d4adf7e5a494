use std::path::PathBuf;

/// A process of the system as the kernel shows it.
pub(crate) struct Process(u32);

impl Process {
    pub(crate) fn new(id: u32) -> Self {
        Self(id)
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.0))
    }

    /// Returns the largest resident memory so far in KiB.
    pub(crate) fn peak_kib(&self) -> u64 {
        let status = std::fs::read_to_string(self.path("status")).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number
            .expect("a running process has VmHWM")
            .parse()
            .unwrap()
    }

    /// Returns the number of open descriptors.
    pub(crate) fn descriptors(&self) -> usize {
        std::fs::read_dir(self.path("fd")).unwrap().count()
    }
}
