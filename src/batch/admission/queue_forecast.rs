use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Backlog, Supply};

/// Time after which machines that may be moved to a service are expected to serve it: the shortest
/// move.
const MOVE_MS: u64 = 1_500;

/// Time to work off a backlog above which its queue is listed. Shorter ones leave room for every
/// job.
const MIN_LISTED: Duration = Duration::from_millis(500);

/// What one queue can bear in the next seconds. Work is in thousandths of a processor times
/// milliseconds, processors are in thousandths.
///
/// ```
/// use coriandernotch::batch::admission::{Backlog, QueueForecast, Supply};
///
/// let supply = Supply { processors: 1_000, used: 1_000, ..Supply::default() };
/// let mut backlog = Backlog::default();
/// backlog.keep(2_000_000);
/// let forecast = QueueForecast::new(&"q".into(), &backlog, &supply).unwrap();
/// assert_eq!(forecast.time_for(forecast.total).as_millis(), 2_000);
/// assert!(QueueForecast::new(&"q".into(), &Backlog::default(), &supply).is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct QueueForecast {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Processors that work off the backlog.
    pub processors: u64,
    /// Processors of machines that may arrive.
    pub reachable: u64,
    /// Work before a new job that is to meet its objective.
    pub within_objective: u64,
    /// Work of the largest waiting job that a smaller one would replace, if jobs are deferred.
    pub largest_kept: Option<u64>,
    /// Work before a new job that may be late.
    pub total: u64,
    /// Work of waiting jobs beyond the weight of their workspace, which only such jobs wait for.
    pub over_rate: u64,
    /// Processors that the arriving work which goes before a new job requires.
    pub arriving: u64,
    /// Time until the burst ends by the rhythm of the queue, in milliseconds; `None` if it has not
    /// been observed.
    pub burst_ms: Option<u64>,
}

impl QueueForecast {
    /// Makes the forecast of a queue from the jobs of its service that go before its own, or returns
    /// `None` if every job is accepted or the jobs wait for something other than processors.
    pub fn new(queue: &Arc<str>, backlog: &Backlog, supply: &Supply) -> Option<Self> {
        let forecast = Self {
            queue: queue.clone(),
            processors: supply.rate(),
            reachable: supply.reachable,
            within_objective: backlog.within_objective(),
            largest_kept: backlog.largest_kept(),
            total: backlog.total(),
            over_rate: backlog.over_rate(),
            ..Self::default()
        };
        let time = forecast.time_for(forecast.total.saturating_add(forecast.over_rate));
        (supply.is_full() && forecast.processors > 0 && time >= MIN_LISTED).then_some(forecast)
    }

    /// Returns the time that the service needs for `work`.
    pub fn time_for(&self, work: u64) -> Duration {
        let before_moves = self.processors.saturating_mul(MOVE_MS);
        let ms = if work <= before_moves {
            work / self.processors.max(1)
        } else {
            let processors = self.processors.saturating_add(self.reachable).max(1);
            MOVE_MS + (work - before_moves) / processors
        };
        Duration::from_millis(ms)
    }

    /// Returns the work that arrives within a time.
    pub fn arriving_within(&self, time: Duration) -> u64 {
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.arriving.saturating_mul(ms)
    }

    /// Returns the work that is going to wait when the burst ends, or what waits now if its end is
    /// not known.
    pub fn total_after_burst(&self) -> u64 {
        let growth = self
            .arriving
            .saturating_sub(self.processors.saturating_add(self.reachable));
        let burst_ms = self.burst_ms.unwrap_or_default();
        self.total.saturating_add(growth.saturating_mul(burst_ms))
    }

    /// Returns whether this forecast differs so much from an earlier one of the same queue that jobs
    /// would be decided otherwise.
    pub fn differs_from(&self, earlier: &Self) -> bool {
        let pairs = [
            (self.processors, earlier.processors),
            (self.reachable, earlier.reachable),
            (self.within_objective, earlier.within_objective),
            (self.total, earlier.total),
            (self.over_rate, earlier.over_rate),
        ];
        let kept = |forecast: &Self| forecast.largest_kept.unwrap_or(u64::MAX);
        pairs
            .into_iter()
            .chain([(kept(self), kept(earlier))])
            .any(|(new, old)| new.abs_diff(old) > new.max(old) / 8)
    }
}
