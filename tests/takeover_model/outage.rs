use coriandernotch::clock::Instant;

use crate::fault::Fault;
use crate::random::Random;

/// A period in which calls over one connection are affected by a fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    pub(crate) fault: Fault,
    /// Share of the calls that are affected.
    pub(crate) percent: u64,
    /// Whether reads of the store are answered as usual.
    pub(crate) spares_reads: bool,
    pub(crate) until: Instant,
}

impl Outage {
    /// Returns the fault that affects a call made at `now`, if any.
    pub(crate) fn draw(&self, is_read: bool, now: Instant, random: &mut Random) -> Option<Fault> {
        let affected =
            now < self.until && !(is_read && self.spares_reads) && random.chance(self.percent);
        affected.then_some(self.fault)
    }
}
