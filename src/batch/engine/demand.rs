use std::collections::VecDeque;
use std::time::Duration;

use super::bursts::Bursts;
use crate::clock::Instant;

/// Time over which arriving work is averaged. A burst lasts several seconds, of which a machine
/// needs two to join a pool.
pub(super) const AVERAGING_WINDOW: Duration = Duration::from_millis(800);

/// Work that arrived recently for one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Arrival time and work, in thousandths of a processor times milliseconds.
    arrivals: VecDeque<(Instant, u64)>,
    total_work: u64,
    /// When the service last could not spare a machine.
    pub(super) last_needed: Instant,
    pub(super) bursts: Bursts,
}

impl Demand {
    pub(super) fn add_arrival(&mut self, work: u64, now: Instant) {
        self.arrivals.push_back((now, work));
        self.total_work += work;
    }

    /// Returns the processors, in thousandths, needed to keep up with the arriving work.
    pub(super) fn required_processors(&mut self, now: Instant) -> u64 {
        while let Some((at, work)) = self.arrivals.front().copied() {
            if now.since(at) <= AVERAGING_WINDOW {
                break;
            }
            self.arrivals.pop_front();
            self.total_work -= work;
        }
        self.total_work / u64::try_from(AVERAGING_WINDOW.as_millis()).unwrap_or(1)
    }
}
