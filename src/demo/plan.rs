use std::path::PathBuf;

/// What the demonstration is to do.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Length of the script in seconds; its steps last longer where the checks of a rule need it.
    pub seconds: u64,
    /// Seed of the load.
    pub seed: u64,
    /// Name of the example fleet, `huallaga` or `rennes`.
    pub shape: String,
    /// Folder for a report.
    pub report: Option<PathBuf>,
    /// Whether to go on until interrupted.
    pub hold: bool,
}
