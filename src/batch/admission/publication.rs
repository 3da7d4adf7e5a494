use std::time::Duration;

use super::Outlook;
use crate::clock::Instant;

/// Shortest time between two writes of the outlook: just below the time between two renewals, so
/// that renewals out of turn carry none.
const MIN_INTERVAL: Duration = Duration::from_millis(380);

/// Time after which an outlook that lists queues is written again although it has not changed.
/// Instances stop using it after [`super::Gate::MAX_AGE`].
const REFRESH_AFTER: Duration = Duration::from_millis(1_000);

/// Time from the beginning of a term until the first outlook. Before, workers may not have answered
/// the new leader, and the capacity would look smaller than it is.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Time without further rows after the store has refused the content of a renewal.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_secs(30);

/// What a leader has published of its outlook.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::batch::admission::{QueueForecast, Outlook, Publication};
/// use coriandernotch::clock::Instant;
///
/// let begun = Instant::from_start(Duration::from_secs(9));
/// let publication = Publication::new(begun);
/// let outlook = Outlook { queues: vec![QueueForecast::default()], ..Outlook::default() };
/// assert!(!publication.is_due(&outlook, begun + Duration::from_secs(1)));
/// assert!(publication.is_due(&outlook, begun + Duration::from_secs(4)));
/// ```
#[derive(Clone, Debug)]
pub struct Publication {
    begun: Instant,
    latest: Option<(Outlook, Instant)>,
    /// Whether the last renewal failed.
    has_failed: bool,
    /// Time until which renewals carry no further rows, since the store has refused one for good.
    paused_until: Instant,
}

impl Publication {
    /// Creates the state of a leader that has loaded the jobs at `begun`.
    pub fn new(begun: Instant) -> Self {
        Self {
            begun,
            latest: None,
            has_failed: false,
            paused_until: begun,
        }
    }

    /// Returns whether enough time has passed for another outlook. The leader makes none before.
    pub fn may_publish(&self, now: Instant) -> bool {
        let latest = self.latest.as_ref();
        self.may_add_rows(now)
            && now.since(self.begun) >= SETTLED_AFTER
            && latest.is_none_or(|(_, at)| now.since(*at) >= MIN_INTERVAL)
    }

    /// Returns whether a renewal may carry rows that the leadership does not need. One that follows a
    /// failed one does not: the rows may be the cause.
    pub fn may_add_rows(&self, now: Instant) -> bool {
        !self.has_failed && now >= self.paused_until
    }

    /// Records that a renewal succeeded.
    pub fn record_success(&mut self) {
        self.has_failed = false;
    }

    /// Records that a renewal failed, for good if the store refused its content.
    pub fn record_failure(&mut self, is_permanent: bool, now: Instant) {
        self.has_failed = true;
        if is_permanent {
            self.paused_until = now + PAUSE_AFTER_REFUSAL;
        }
    }

    /// Returns whether `outlook` is to be written.
    pub fn is_due(&self, outlook: &Outlook, now: Instant) -> bool {
        let is_worth_it = match &self.latest {
            None => !outlook.queues.is_empty(),
            Some((latest, at)) => {
                let is_old = !outlook.queues.is_empty() && now.since(*at) >= REFRESH_AFTER;
                is_old || outlook.differs_from(latest)
            }
        };
        is_worth_it && self.may_publish(now)
    }

    /// Records that an outlook was written by a call sent at `sent`.
    pub fn record(&mut self, outlook: Outlook, sent: Instant) {
        self.latest = Some((outlook, sent));
    }
}
