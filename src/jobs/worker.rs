use super::{RackId, Size, Standing};
use crate::fleet::DataCentreId;

/// A worker and the resources reserved on it.
///
/// ```
/// use coriandernotch::fleet::DataCentreId;
/// use coriandernotch::jobs::{RackId, Size, Worker};
///
/// let mut worker = Worker::new(RackId(0), DataCentreId(0), Size::new(32_000, 131_072, 0));
/// worker.reserved = Size::new(30_000, 1_024, 0);
/// assert_eq!(worker.free().processors, 2_000);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Worker {
    /// Rack that it belongs to.
    pub rack: RackId,
    /// Data centre that it belongs to.
    pub data_centre: DataCentreId,
    /// All its resources.
    pub capacity: Size,
    /// Resources reserved for jobs.
    pub reserved: Size,
    /// Number of jobs with a reservation.
    pub job_count: u32,
    /// Whether its free resources are set aside for one waiting job.
    pub earmarked: bool,
    /// Whether it may get jobs.
    pub standing: Standing,
}

impl Worker {
    /// Creates an empty worker in good standing.
    pub fn new(rack: RackId, data_centre: DataCentreId, capacity: Size) -> Self {
        Self {
            rack,
            data_centre,
            capacity,
            reserved: Size::ZERO,
            job_count: 0,
            earmarked: false,
            standing: Standing::Good,
        }
    }

    /// Returns the processors and memory per accelerator, or `None` if the worker has no
    /// accelerators.
    pub fn per_accelerator(&self) -> Option<Size> {
        let share = |n: u64| n.checked_div(self.capacity.accelerators);
        let (processors, memory) = (self.capacity.processors, self.capacity.memory);
        Some(Size::new(share(processors)?, share(memory)?, 0))
    }

    /// Returns the resources that are not reserved.
    pub fn free(&self) -> Size {
        self.capacity - self.reserved
    }

    /// Returns the resources that any new job may get; zero while the standing forbids it or while
    /// they are set aside for one job.
    pub fn offer(&self) -> Size {
        match self.standing {
            _ if self.earmarked => Size::ZERO,
            Standing::Good => self.free(),
            Standing::Probation if self.job_count == 0 => self.free(),
            _ => Size::ZERO,
        }
    }
}
