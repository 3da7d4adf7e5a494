use serde::{Deserialize, Serialize};

use crate::jobs::Size;

/// Resources as workers write them.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Need {
    milli_cpus: u32,
    memory_mib: u32,
    accelerators: u32,
}

impl From<Size> for Need {
    fn from(size: Size) -> Self {
        let narrow = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        Self {
            milli_cpus: narrow(size.processors),
            memory_mib: narrow(size.memory),
            accelerators: narrow(size.accelerators),
        }
    }
}

impl From<Need> for Size {
    fn from(need: Need) -> Self {
        Self::new(
            need.milli_cpus.into(),
            need.memory_mib.into(),
            need.accelerators.into(),
        )
    }
}
