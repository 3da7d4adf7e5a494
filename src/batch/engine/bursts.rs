use std::time::Duration;

use crate::clock::Instant;

/// Demand above this fraction of a pool's processors counts as a burst.
const BURST_FRACTION: f64 = 0.25;

/// Time below that fraction after which a burst is over.
const BURST_OVER_AFTER: Duration = Duration::from_millis(1_200);

/// Shortest period of high demand that counts as a burst.
const MIN_BURST: Duration = Duration::from_millis(1_500);

/// Assumed quiet period after a burst, as a multiple of the burst's length, until one has been
/// observed. A queue that asks for four times its mean during its turn is quiet for three turns.
const QUIET_FACTOR: f64 = 2.5;

/// Longest quiet period that is assumed before one has been observed.
const MAX_ASSUMED_QUIET: Duration = Duration::from_secs(60);

/// Bursts of the demand for one service. Queues take turns: after its burst a queue has a quiet
/// period.
#[derive(Clone, Debug, Default)]
pub(super) struct Bursts {
    /// Start of the current period of high demand.
    high_since: Option<Instant>,
    /// When the demand was last high.
    last_high: Instant,
    /// Start and end of the last burst.
    last_burst: Option<(Instant, Instant)>,
    /// Shortest quiet period observed between two bursts.
    shortest_quiet: Option<Duration>,
}

impl Bursts {
    /// Records the processors that the demand requires, and those of the service's own machines,
    /// both in thousandths.
    pub(super) fn record_demand(
        &mut self,
        demand_processors: u64,
        own_processors: u64,
        now: Instant,
    ) {
        if demand_processors as f64 > own_processors as f64 * BURST_FRACTION {
            self.high_since.get_or_insert(now);
            self.last_high = now;
            return;
        }
        let is_over = now.since(self.last_high) >= BURST_OVER_AFTER;
        let Some(start) = self.high_since.filter(|_| is_over) else {
            return;
        };
        self.high_since = None;
        // A single wide job is not a burst.
        if self.last_high.since(start) < MIN_BURST {
            return;
        }
        if let Some((_, end)) = self.last_burst {
            let quiet = start.since(end);
            self.shortest_quiet = Some(
                self.shortest_quiet
                    .map_or(quiet, |shortest| shortest.min(quiet)),
            );
        }
        self.last_burst = Some((start, self.last_high));
    }

    /// Returns when the last burst ended, or `None` during a burst.
    pub(super) fn last_burst_end(&self, now: Instant) -> Option<Instant> {
        let (_, end) = self.last_burst.filter(|_| !self.is_burst(now))?;
        Some(end)
    }

    /// Returns the time until the present burst ends if it lasts as long as the last one, or `None`
    /// if there is none or no earlier one was observed.
    pub(super) fn remaining_burst(&self, now: Instant) -> Option<Duration> {
        let (start, end) = self.last_burst?;
        Some((self.high_since? + end.since(start)).since(now))
    }

    /// Returns the remaining time in which no burst is expected; zero if no burst has been
    /// observed.
    pub(super) fn quiet_time(&self, now: Instant) -> Duration {
        let Some((start, end)) = self.last_burst.filter(|_| !self.is_burst(now)) else {
            return Duration::ZERO;
        };
        let assumed = || {
            end.since(start)
                .mul_f64(QUIET_FACTOR)
                .min(MAX_ASSUMED_QUIET)
        };
        let quiet = self.shortest_quiet.unwrap_or_else(assumed);
        (end + quiet).since(now)
    }

    fn is_burst(&self, now: Instant) -> bool {
        self.high_since
            .is_some_and(|start| now.since(start) >= MIN_BURST)
    }
}
