use serde::{Deserialize, Serialize};

/// Whether a worker may get jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// Gets jobs.
    #[default]
    Good,
    /// Gets one job at a time, after several failures or after a quarantine.
    Probation,
    /// Gets no jobs for a time: in quarantine, because jobs that failed there succeeded elsewhere,
    /// or in a pause during probation.
    Quarantined,
    /// Gets no jobs, because it announced that it leaves.
    Leaving,
    /// Gets no jobs, because its lease has expired.
    Lost,
}
