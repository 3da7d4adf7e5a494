use super::{RackId, Size, Standing};
use crate::fleet::DataCentreId;

/// A worker and what is reserved on it.
///
/// ```
/// use coriandernotch::fleet::DataCentreId;
/// use coriandernotch::jobs::{RackId, Size, Worker};
///
/// let mut worker = Worker::new(RackId(0), DataCentreId(0), Size::new(32_000, 131_072, 0));
/// worker.used = Size::new(30_000, 1_024, 0);
/// assert_eq!(worker.free().processors, 2_000);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Worker {
    /// Rack.
    pub rack: RackId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// All it has.
    pub capacity: Size,
    /// Reserved for jobs.
    pub used: Size,
    /// Jobs that hold resources.
    pub jobs: u32,
    /// Whether its room is kept for an urgent job.
    pub kept: bool,
    /// How far it is trusted.
    pub standing: Standing,
}

impl Worker {
    /// Makes an empty worker in good standing.
    pub fn new(rack: RackId, data_centre: DataCentreId, capacity: Size) -> Self {
        Self {
            rack,
            data_centre,
            capacity,
            used: Size::ZERO,
            jobs: 0,
            kept: false,
            standing: Standing::Good,
        }
    }

    /// Returns the processors and memory that come with each accelerator, if it has some.
    pub fn accelerator_part(&self) -> Option<Size> {
        let part = |n: u64| n.checked_div(self.capacity.accelerators);
        let (processors, memory) = (self.capacity.processors, self.capacity.memory);
        Some(Size::new(part(processors)?, part(memory)?, 0))
    }

    /// Returns what is not reserved.
    pub fn free(&self) -> Size {
        self.capacity - self.used
    }

    /// Returns what a new job may get, given its standing; nothing while kept.
    pub fn offer(&self) -> Size {
        match self.standing {
            _ if self.kept => Size::ZERO,
            Standing::Good => self.free(),
            Standing::Probation if self.jobs == 0 => self.free(),
            _ => Size::ZERO,
        }
    }
}
