use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use tokio::sync::Notify;

use super::committer::Committer;
use super::desired::Desired;
use super::leader::Leader;
use super::settings::Settings;
use super::term::Term;
use crate::clock::{self, Instant};
use crate::platform::api::Store;

/// Time that an answer of the store may take.
pub(super) const STORE_LIMIT: Duration = Duration::from_millis(1_200);

/// Part of the bound on changes of the configuration that may pass without news from the store.
const FRESH_SHARE: f64 = 0.85;

/// State of one instance that its tasks share.
pub(super) struct Shared {
    pub(super) settings: Settings,
    /// Start of the process in milliseconds since 1970.
    pub(super) incarnation: u64,
    pub(super) store: Store,
    pub(super) desired: Mutex<Desired>,
    pub(super) committer: Committer,
    /// Row of the leader as it was last read.
    pub(super) leader: Mutex<Leader>,
    /// Leadership of this instance while it leads.
    pub(super) term: Mutex<Option<Arc<Term>>>,
    /// Whether the instance is stopping.
    pub(super) stopping: AtomicBool,
    pub(super) stop: Notify,
}

impl Shared {
    /// Returns how long the configuration may go without news.
    pub(super) fn fresh_bound(&self) -> Duration {
        Duration::from_millis(self.settings.bounds.config_ms).mul_f64(FRESH_SHARE)
    }

    /// Returns whether the instance knows the present configuration.
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        let desired = self.desired.lock().expect("desired lock");
        desired.fresh(now, self.fresh_bound()).is_some()
    }

    /// Returns the leadership of this instance, if it leads.
    pub(super) fn term(&self) -> Option<Arc<Term>> {
        self.term.lock().expect("term lock").clone()
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(std::sync::atomic::Ordering::Acquire)
    }
}

/// Returns the present time in milliseconds since 1970.
pub(super) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Sleeps for a pause that differs between instances, so that they do not act at once.
pub(super) async fn pause(name: &str, longest: Duration) {
    let sum = name
        .bytes()
        .fold(0u32, |sum, b| sum.wrapping_mul(31).wrapping_add(b.into()));
    let jitter = clock::now().as_nanos() as u32;
    let part = f64::from(sum.wrapping_add(jitter) % 1_000) / 1_000.0;
    tokio::time::sleep(longest.mul_f64(part)).await;
}
