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
}

impl Publication {
    /// Creates the state of a leader that has loaded the jobs at `begun`.
    pub fn new(begun: Instant) -> Self {
        Self {
            begun,
            latest: None,
        }
    }

    /// Returns whether enough time has passed for another outlook. The leader makes none before.
    pub fn may_publish(&self, now: Instant) -> bool {
        let latest = self.latest.as_ref();
        now.since(self.begun) >= SETTLED_AFTER
            && latest.is_none_or(|(_, at)| now.since(*at) >= MIN_INTERVAL)
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
