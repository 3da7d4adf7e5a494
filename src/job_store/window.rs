use std::time::Duration;

use super::Class;
use crate::clock::Instant;

/// Number of calls that may be in flight at the start.
const INITIAL_LIMIT: f64 = 32.0;

/// Largest number of calls in flight of one instance. With 97 instances, 1,200 calls a second of 8 ms
/// each need far fewer; the rest is for partitions that are slow.
const MAX_LIMIT: f64 = 64.0;

/// Smallest limit while the store answers. Refusals also come from single partitions, and 42 instances
/// with this many calls of 0.4 s each store 840 jobs a second.
const MIN_LIMIT: f64 = 8.0;

/// Answers within this time raise the limit. Six of them fit into the 3 s for which callers wait.
const FAST: Duration = Duration::from_millis(500);

/// Answers after this time lower the limit. Fewer than three of them fit into the 3 s for which
/// callers wait, so a call that is repeated may be too late.
const SLOW: Duration = Duration::from_millis(1_100);

/// Factor of the limit after a refusal, and after a slow answer.
const REFUSED_FACTOR: f64 = 0.7;
const SLOW_FACTOR: f64 = 0.9;

/// Factor of the limit after a call without an answer. A store that does not answer then gets one call
/// at a time, and the submissions that are not sent can be refused.
const UNANSWERED_FACTOR: f64 = 0.5;

/// Shortest time between two reductions of the limit: answers to calls that were in flight together report the same event.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(200);

/// Weight of the last call in the mean duration.
const WEIGHT: f64 = 0.25;

/// Time without a call after which the mean duration no longer applies.
const MEMORY: Duration = Duration::from_secs(2);

/// Share of the limit that calls in the background may use.
const BACKGROUND_SHARE: f64 = 0.25;

/// Calls of this instance that the store has not answered, and their limit, which follows its answers.
#[derive(Clone, Debug)]
pub struct Window {
    limit: f64,
    in_flight: usize,
    mean: Duration,
    last_answer: Option<Instant>,
    last_success: Option<Instant>,
    last_reduction: Option<Instant>,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            in_flight: 0,
            mean: Duration::ZERO,
            last_answer: None,
            last_success: None,
            last_reduction: None,
        }
    }
}

impl Window {
    /// Returns whether a call may be sent.
    ///
    /// ```
    /// use coriandernotch::job_store::{Class, Window};
    ///
    /// assert!(Window::default().may_send(Class::Background));
    /// ```
    pub fn may_send(&self, class: Class) -> bool {
        let in_flight = self.in_flight as f64;
        match class {
            Class::Awaited => in_flight + 1.0 <= self.limit.max(1.0),
            Class::Background => in_flight + 1.0 <= (self.limit * BACKGROUND_SHARE).max(1.0),
        }
    }

    /// Returns how many calls may be in flight.
    ///
    /// ```
    /// assert!(coriandernotch::job_store::Window::default().limit() > 1);
    /// ```
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Returns how many calls are in flight.
    ///
    /// ```
    /// assert_eq!(coriandernotch::job_store::Window::default().in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns how long the next call will take, by the last ones; zero if there were none lately.
    pub fn expected(&self, now: Instant) -> Duration {
        let is_recent = self.last_answer.is_some_and(|at| now.since(at) < MEMORY);
        if is_recent { self.mean } else { Duration::ZERO }
    }

    /// Returns whether the store has carried out a call since a time.
    pub fn has_succeeded_since(&self, since: Instant) -> bool {
        self.last_success.is_some_and(|at| at >= since)
    }

    /// Records that a call is sent.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a call took effect or found a conflict.
    pub fn record_success(&mut self, took: Duration, now: Instant) {
        self.finish(took, now);
        self.last_success = Some(now);
        if took >= SLOW {
            self.reduce(SLOW_FACTOR, MIN_LIMIT, now);
        } else if took < FAST {
            // Doubles with each round of answers up to the lower limit, and then adds one.
            let step = if self.limit < MIN_LIMIT {
                1.0
            } else {
                1.0 / self.limit
            };
            self.limit = (self.limit + step).min(MAX_LIMIT);
        }
    }

    /// Records that the store refused a call because it has too much to do.
    pub fn record_refusal(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_answer = Some(now);
        self.reduce(REFUSED_FACTOR, MIN_LIMIT, now);
    }

    /// Records that a call was not answered.
    pub fn record_silence(&mut self, took: Duration, now: Instant) {
        self.finish(took, now);
        self.reduce(UNANSWERED_FACTOR, 1.0, now);
    }

    /// Records that a call was given up for the sake of its caller, before the store can be said not to
    /// answer.
    pub fn record_abandoned(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn finish(&mut self, took: Duration, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.mean = if self.expected(now).is_zero() {
            took
        } else {
            self.mean.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT)
        };
        self.last_answer = Some(now);
    }

    fn reduce(&mut self, factor: f64, floor: f64, now: Instant) {
        let is_reduced = |at: Instant| now.since(at) < REDUCTION_INTERVAL;
        if self.last_reduction.is_some_and(is_reduced) {
            return;
        }
        self.last_reduction = Some(now);
        self.limit = (self.limit * factor).max(floor).min(self.limit);
    }
}
