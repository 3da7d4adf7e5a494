use serde::{Deserialize, Serialize};

/// Order about a job that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "command")]
pub enum Command {
    /// Lengthens the lease to this time from now, in milliseconds.
    Renew {
        /// New length of the lease.
        #[serde(rename = "lease-ms")]
        lease_ms: u64,
    },
    /// Saves the progress and stops.
    Checkpoint,
    /// Goes on at this percentage of the full speed.
    Throttle {
        /// 1 to 100.
        percent: u32,
    },
    /// Stops without saving.
    Stop,
}
