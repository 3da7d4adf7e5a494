use serde::{Deserialize, Serialize};

/// How far a worker is trusted with work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// Gets work.
    #[default]
    Good,
    /// Gets one job at a time, after several failures or on return from quarantine.
    Probation,
    /// Gets nothing for a time, since jobs that failed there succeeded elsewhere.
    Quarantined,
    /// Gets nothing; announced that it leaves.
    Leaving,
    /// Gets nothing; its lease has expired.
    Lost,
}
