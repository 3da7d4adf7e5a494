use std::time::Duration;

use crate::clock::Instant;

/// Demand above this fraction of a pool's processors counts as a burst.
const BURST_PART: f64 = 0.25;

/// Time below that fraction after which a burst is over.
const OVER_AFTER: Duration = Duration::from_millis(1_200);

/// Shortest period of high demand that counts as a burst.
const LONG_ENOUGH: Duration = Duration::from_millis(1_500);

/// Assumed quiet period after a burst, as a multiple of the burst's length, until one has been
/// observed. A queue that asks for four times its mean during its turn is quiet for three turns.
const PAUSE_FACTOR: f64 = 2.5;

/// Longest quiet period that is assumed before one has been observed.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Bursts of the demand for one service. Queues take turns: after its burst a queue has a quiet
/// period.
#[derive(Clone, Debug, Default)]
pub(super) struct Rhythm {
    /// Start of the current period of high demand.
    since: Option<Instant>,
    /// When the demand was last high.
    high: Instant,
    /// Start and end of the last burst.
    last: Option<(Instant, Instant)>,
    /// Shortest quiet period observed between two bursts.
    pause: Option<Duration>,
}

impl Rhythm {
    /// Records the processors that the demand requires, and those of the service's own machines,
    /// both in thousandths.
    pub(super) fn observe(&mut self, demand: u64, own: u64, now: Instant) {
        if demand as f64 > own as f64 * BURST_PART {
            self.since.get_or_insert(now);
            self.high = now;
            return;
        }
        let over = now.since(self.high) >= OVER_AFTER;
        let Some(since) = self.since.filter(|_| over) else {
            return;
        };
        self.since = None;
        // A single wide job is not a burst.
        if self.high.since(since) < LONG_ENOUGH {
            return;
        }
        if let Some((_, end)) = self.last {
            let pause = since.since(end);
            self.pause = Some(self.pause.map_or(pause, |known| known.min(pause)));
        }
        self.last = Some((since, self.high));
    }

    /// Returns when the last burst ended, or `None` during a burst.
    pub(super) fn ended(&self, now: Instant) -> Option<Instant> {
        let (_, end) = self.last.filter(|_| !self.is_burst(now))?;
        Some(end)
    }

    /// Returns the remaining time in which no burst is expected; zero if no burst has been
    /// observed.
    pub(super) fn rest(&self, now: Instant) -> Duration {
        let Some((since, end)) = self.last.filter(|_| !self.is_burst(now)) else {
            return Duration::ZERO;
        };
        let assumed = || end.since(since).mul_f64(PAUSE_FACTOR).min(MAX_PAUSE);
        let pause = self.pause.unwrap_or_else(assumed);
        (end + pause).since(now)
    }

    fn is_burst(&self, now: Instant) -> bool {
        self.since
            .is_some_and(|since| now.since(since) >= LONG_ENOUGH)
    }
}
