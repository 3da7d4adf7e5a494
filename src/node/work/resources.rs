use serde::{Deserialize, Serialize};

use crate::jobs::Size;

/// Resources in the protocol of the workers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Resources {
    milli_cpus: u32,
    memory_mib: u32,
    accelerators: u32,
}

impl From<Size> for Resources {
    fn from(size: Size) -> Self {
        let saturate = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        Self {
            milli_cpus: saturate(size.processors),
            memory_mib: saturate(size.memory),
            accelerators: saturate(size.accelerators),
        }
    }
}

impl From<Resources> for Size {
    fn from(resources: Resources) -> Self {
        Self::new(
            resources.milli_cpus.into(),
            resources.memory_mib.into(),
            resources.accelerators.into(),
        )
    }
}
