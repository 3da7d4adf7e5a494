use serde::{Deserialize, Serialize};

/// Amounts of a worker's resources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Need {
    /// Thousandths of a processor.
    pub milli_cpus: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Need {
    /// Returns whether this amount is no more than `room` in any resource.
    ///
    /// ```
    /// use coriandernotch::standin::worker::Need;
    ///
    /// let one = Need { milli_cpus: 1, ..Need::default() };
    /// assert!(Need::default().fits(&one) && !one.fits(&Need::default()));
    /// ```
    pub fn fits(&self, room: &Self) -> bool {
        self.milli_cpus <= room.milli_cpus
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            milli_cpus: self.milli_cpus.saturating_add(other.milli_cpus),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}
