use std::sync::Arc;
use std::time::Duration;

use super::{Arrival, Outlook, QueueForecast, Reason, USEFUL_FACTOR, Verdict};
use crate::clock::Instant;

/// Ratio of the forecast end to the last useful one from which a job is refused. Declared times are
/// off by some tenths, in both directions, and differ less over a backlog of many jobs.
const SAFETY: f64 = 1.25;

/// What an instance knows about the queues, and its decisions about jobs.
///
/// This handles bursts of several times the capacity: jobs that would end when they are of no use
/// take no room from others, and their callers learn at once when to return. Whatever is uncertain
/// is accepted.
///
/// ```
/// use coriandernotch::batch::admission::{Gate, Arrival, Reason, Verdict};
/// use coriandernotch::clock::Instant;
///
/// let gate = Gate::default();
/// let verdict = gate.decide(&Arrival::default(), "q", Some(1), Some(5), Instant::default());
/// assert_eq!(verdict, Verdict::Accept(Reason::NoOutlook));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// Latest outlook and when it was received.
    latest: Option<(Arc<Outlook>, Instant)>,
    /// When the store last left a write of a job without an outcome.
    unknown_outcome_at: Option<Instant>,
}

impl Gate {
    /// Age from which an outlook is not used. The burst that it shows may have ended.
    pub const MAX_AGE: Duration = Duration::from_secs(2);

    /// Time after a write without an outcome in which no job is refused. A write takes effect within
    /// some seconds if at all, and callers repeat a request for about as long.
    pub const UNKNOWN_FOR: Duration = Duration::from_secs(10);

    /// Takes an outlook.
    pub fn receive(&mut self, outlook: Outlook, now: Instant) {
        self.latest = Some((Arc::new(outlook), now));
    }

    /// Records that the store left a write of a job without an outcome. Writes of other instances
    /// may then be carried out late too, after a look-up has not found their jobs.
    pub fn record_unknown_outcome(&mut self, now: Instant) {
        self.unknown_outcome_at = Some(now);
    }

    /// Returns whether a write may still be carried out after a look-up has not found its job.
    pub fn has_unknown_outcome(&self, now: Instant) -> bool {
        let at = self.unknown_outcome_at;
        at.is_some_and(|at| now.since(at) < Self::UNKNOWN_FOR)
    }

    /// Returns the age of the outlook, or `None` if there is none or its age is not known.
    pub fn age(&self, store_ms: Option<u64>, now: Instant) -> Option<Duration> {
        let (outlook, received_at) = self.latest.as_ref()?;
        Some(outlook.age(store_ms)?.max(now.since(*received_at)))
    }

    /// Decides about a job of `queue`. `leader` is the fencing token of the present leader, if there
    /// is one, and `store_ms` the time on the clock of the store, if that is known.
    pub fn decide(
        &self,
        arrival: &Arrival,
        queue: &str,
        leader: Option<u64>,
        store_ms: Option<u64>,
        now: Instant,
    ) -> Verdict {
        if arrival.lasting {
            return Verdict::Accept(Reason::Lasting);
        }
        if arrival.scheduled {
            return Verdict::Accept(Reason::Scheduled);
        }
        if self.has_unknown_outcome(now) {
            return Verdict::Accept(Reason::Unknown);
        }
        let Some((outlook, _)) = &self.latest else {
            return Verdict::Accept(Reason::NoOutlook);
        };
        if leader != Some(outlook.token) {
            return Verdict::Accept(Reason::NoOutlook);
        }
        let Some(age) = self.age(store_ms, now).filter(|age| *age <= Self::MAX_AGE) else {
            return Verdict::Accept(Reason::OldOutlook);
        };
        let Some(forecast) = outlook.forecast(queue) else {
            return Verdict::Accept(Reason::NoBacklog);
        };
        let over_rate = outlook.is_over_rate(&arrival.workspace, arrival.second);
        judge(arrival, forecast, over_rate, age)
    }
}

/// Decides about a job by the forecast of its queue, made `age` ago. A job over the rate of its
/// workspace goes behind all others.
fn judge(arrival: &Arrival, forecast: &QueueForecast, over_rate: bool, age: Duration) -> Verdict {
    let is_small = forecast.largest_kept.is_none_or(|work| arrival.work < work);
    let (before, total) = if over_rate {
        let all = forecast.total.saturating_add(forecast.over_rate);
        (all, all)
    } else {
        (forecast.within_objective, forecast.total)
    };
    // What arrives goes before a job that is late, and most of it before one that is not.
    let arrived = forecast.arriving_within(age);
    let (before, total) = (
        before.saturating_add(arrived),
        total.saturating_add(arrived),
    );
    let end_behind = |work: u64| {
        let wait = forecast.time_for(work).saturating_sub(age);
        wait.saturating_add(arrival.critical_path)
    };
    let own_share = forecast.time_for(before.saturating_add(arrival.work));
    let left = arrival.objective.saturating_sub(arrival.waited);
    let fits = end_behind(before).max(own_share.saturating_sub(age)) <= left;
    // The selection of kept jobs has none that must miss their objective.
    if fits || (is_small && !over_rate && arrival.critical_path <= left) {
        return Verdict::Accept(Reason::InTime);
    }
    let end = end_behind(total);
    let last_useful = arrival.objective.saturating_mul(USEFUL_FACTOR);
    if end.saturating_add(arrival.waited) <= last_useful.mul_f64(SAFETY) {
        return Verdict::Accept(Reason::Useful);
    }
    Verdict::Refuse {
        end,
        delay: delay(arrival, forecast, age),
    }
}

/// Returns the time after which a job like `arrival` is expected to meet its objective: the backlog
/// that the burst leaves has shrunk to what the job can wait for.
fn delay(arrival: &Arrival, forecast: &QueueForecast, age: Duration) -> Duration {
    let burst = Duration::from_millis(forecast.burst_ms.unwrap_or_default());
    let after_burst = forecast.total_after_burst();
    let can_wait = arrival.objective.saturating_sub(arrival.critical_path);
    let clear = forecast.time_for(after_burst).saturating_sub(can_wait);
    clear.max(burst).saturating_sub(age)
}
