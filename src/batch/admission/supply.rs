/// Below this use of its processors, in percent, a service has room, and what waits there waits for
/// something else: a quota, a ticket, memory or an accelerator. Tasks that need many processors and
/// the time between an end and the next start leave the rest unused on a full service.
const FULL_PERCENT: u64 = 70;

/// Processors, in thousandths, that serve the jobs of one service.
///
/// ```
/// use coriandernotch::batch::admission::Supply;
///
/// let supply = Supply { processors: 8_000, used: 7_900, ..Supply::default() };
/// assert!(supply.is_full());
/// assert!(!Supply::default().is_full());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    /// Processors of the workers on which tasks may start.
    pub processors: u64,
    /// Processors that tasks use on these workers.
    pub used: u64,
    /// Processors that lasting tasks use.
    pub lasting: u64,
    /// Processors of machines that are arriving, or that may be moved to the service.
    pub reachable: u64,
    /// Processors that the work completed of late corresponds to. It exceeds the others if tasks
    /// take less time than declared.
    pub finished: u64,
}

impl Supply {
    /// Returns whether waiting jobs wait for processors.
    pub fn is_full(&self) -> bool {
        self.processors > 0 && self.used * 100 >= self.processors * FULL_PERCENT
    }

    /// Returns the processors that work off the backlog now.
    pub fn rate(&self) -> u64 {
        self.processors
            .saturating_sub(self.lasting)
            .max(self.finished)
    }
}
