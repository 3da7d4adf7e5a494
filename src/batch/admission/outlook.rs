use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::QueueForecast;

/// Largest encoded size of an outlook in bytes, below the 64 KiB of a row.
const MAX_BYTES: usize = 60_000;

/// Bytes of an encoded forecast besides the name of its queue: its field names and numbers of up to
/// 20 digits.
const FORECAST_BYTES: usize = 340;

/// Bytes of an encoded entry for a workspace besides its name.
const WORKSPACE_BYTES: usize = 28;

/// Largest part of the row that entries for workspaces take.
const MAX_WORKSPACE_BYTES: usize = 12_000;

/// What the queues can bear in the next seconds, as the leader sees it. Queues that are not listed
/// take every job.
///
/// ```
/// use coriandernotch::batch::admission::Outlook;
///
/// let outlook = Outlook { made_ms: 500, ..Outlook::default() };
/// assert_eq!(outlook.age(Some(800)).unwrap().as_millis(), 300);
/// assert!(outlook.age(None).is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Outlook {
    /// Fencing token of the leader that made it.
    pub token: u64,
    /// Clock of the store when it was made, in milliseconds; 0 if unknown.
    pub made_ms: u64,
    /// Forecasts of the queues that have a backlog.
    pub queues: Vec<QueueForecast>,
    /// Workspaces that have used up their weight in a second, with that second since 1970.
    pub over_rate: Vec<(Arc<str>, u64)>,
}

impl Outlook {
    /// Leaves out what does not fit into a row of the store: the queues with the shortest backlog,
    /// which then take every job.
    #[must_use]
    pub fn bounded(mut self) -> Self {
        let mut bytes = 100;
        self.over_rate.retain(|(name, _)| {
            bytes += WORKSPACE_BYTES + encoded_length(name);
            bytes <= MAX_WORKSPACE_BYTES
        });
        let mut bytes = bytes.min(MAX_WORKSPACE_BYTES);
        let time = |forecast: &QueueForecast| forecast.time_for(forecast.total);
        self.queues
            .sort_by(|a, b| time(b).cmp(&time(a)).then_with(|| a.queue.cmp(&b.queue)));
        self.queues.retain(|forecast| {
            bytes += FORECAST_BYTES + encoded_length(&forecast.queue);
            bytes <= MAX_BYTES
        });
        self
    }

    /// Returns how old the outlook is at `store_ms` on the clock of the store, or `None` if either
    /// time is unknown.
    pub fn age(&self, store_ms: Option<u64>) -> Option<Duration> {
        let store_ms = store_ms.filter(|_| self.made_ms > 0)?;
        Some(Duration::from_millis(store_ms.saturating_sub(self.made_ms)))
    }

    /// Returns the forecast of a queue.
    pub fn forecast(&self, queue: &str) -> Option<&QueueForecast> {
        self.queues
            .iter()
            .find(|forecast| &*forecast.queue == queue)
    }

    /// Returns whether a workspace has used up its weight in a second.
    pub fn is_over_rate(&self, workspace: &str, second: u64) -> bool {
        let mut entries = self.over_rate.iter();
        entries.any(|(name, at)| &**name == workspace && *at == second)
    }

    /// Returns the workspaces that have used up their weight, whatever the second.
    fn names_over_rate(&self) -> impl Iterator<Item = &Arc<str>> {
        self.over_rate.iter().map(|(name, _)| name)
    }

    /// Returns whether jobs would be decided otherwise by this outlook than by an earlier one.
    pub fn differs_from(&self, earlier: &Self) -> bool {
        self.token != earlier.token
            || !self.names_over_rate().eq(earlier.names_over_rate())
            || self.queues.len() != earlier.queues.len()
            || self.queues.iter().any(|forecast| {
                let before = earlier.forecast(&forecast.queue);
                before.is_none_or(|before| forecast.differs_from(before))
            })
    }
}

/// Returns the largest number of bytes that a text takes in JSON.
fn encoded_length(text: &str) -> usize {
    text.chars()
        .map(|c| {
            if c.is_control() {
                6
            } else {
                c.len_utf8().max(2)
            }
        })
        .sum()
}
