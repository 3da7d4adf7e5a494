use std::collections::VecDeque;
use std::time::Duration;

use super::rhythm::Rhythm;
use crate::clock::Instant;

/// Time over which arriving work is averaged. A burst lasts several seconds, of which a machine
/// needs two to join a pool.
const WINDOW: Duration = Duration::from_millis(800);

/// Work that arrived recently for one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Arrival time and work, in thousandths of a processor times milliseconds.
    arrivals: VecDeque<(Instant, u64)>,
    sum: u64,
    /// When the service last could not spare a machine.
    pub(super) wanted: Instant,
    pub(super) rhythm: Rhythm,
}

impl Demand {
    pub(super) fn arrive(&mut self, work: u64, now: Instant) {
        self.arrivals.push_back((now, work));
        self.sum += work;
    }

    /// Returns the processors, in thousandths, needed to keep up with the arriving work.
    pub(super) fn rate(&mut self, now: Instant) -> u64 {
        while let Some((at, work)) = self.arrivals.front().copied() {
            if now.since(at) <= WINDOW {
                break;
            }
            self.arrivals.pop_front();
            self.sum -= work;
        }
        self.sum / u64::try_from(WINDOW.as_millis()).unwrap_or(1)
    }
}
