use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use tokio::sync::{Notify, Semaphore};

use super::committer::Committer;
use super::desired::Desired;
use super::settings::Settings;
use super::term::Term;
use crate::batch::admission::{self, Attempts};
use crate::batch::{JobMemory, Leader};
use crate::clock::{self, Instant};
use crate::intake::Registry;
use crate::platform::api::Store;

/// Default timeout of calls to the store.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum age of the configuration, as a share of the time within which a change of it must be in
/// force.
const MAX_CONFIG_AGE_SHARE: f64 = 0.85;

/// State of an entry instance, shared by its tasks.
pub(super) struct Shared {
    pub(super) settings: Settings,
    /// Bounds what the connections of this process occupy.
    pub(super) registry: Arc<Registry>,
    /// Start time of the process in milliseconds since 1970.
    pub(super) incarnation: u64,
    pub(super) store: Store,
    pub(super) desired: Mutex<Desired>,
    pub(super) committer: Committer,
    /// Leader row as last read.
    pub(super) leader: Mutex<Leader>,
    /// What this instance knows about the backlog of the queues.
    pub(super) admission: Mutex<admission::Gate>,
    /// Memory for jobs in progress.
    pub(super) room: Mutex<admission::Room>,
    /// Look-ups of jobs for which there is no memory, each with two calls of the store.
    pub(super) look_ups: Semaphore,
    /// Jobs submitted here of late.
    pub(super) attempts: Mutex<Attempts>,
    /// Current term of this instance while it leads.
    pub(super) term: Mutex<Option<Arc<Term>>>,
    /// Whether the instance is stopping.
    pub(super) stopping: AtomicBool,
    /// Notified when the instance begins to stop.
    pub(super) stop: Notify,
}

impl Shared {
    /// Returns how old the configuration may be.
    pub(super) fn max_config_age(&self) -> Duration {
        Duration::from_millis(self.settings.bounds.config_ms).mul_f64(MAX_CONFIG_AGE_SHARE)
    }

    /// Returns whether the configuration is known and recent enough.
    pub(super) fn has_fresh_config(&self, now: Instant) -> bool {
        let desired = self.desired.lock().expect("desired lock");
        desired.fresh_config(now, self.max_config_age()).is_some()
    }

    /// Returns the current term of this instance if it leads.
    pub(super) fn term(&self) -> Option<Arc<Term>> {
        self.term.lock().expect("term lock").clone()
    }

    /// Lets a job in if the leader has memory for it, as far as this instance knows.
    pub(super) fn take_room(&self, job: JobMemory, now: Instant) -> bool {
        let known = match self.term() {
            Some(term) => term.engine().job_memory(),
            None => self.leader.lock().expect("leader lock").job_memory,
        };
        let mut room = self.room.lock().expect("room lock");
        room.take(job, known, now)
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(std::sync::atomic::Ordering::Acquire)
    }
}

/// Returns the current time in milliseconds since 1970.
pub(super) fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Sleeps for a delay of at most `max_delay` that depends on the name of the instance and the
/// clock, so that instances do not act at the same time.
pub(super) async fn sleep_jittered(name: &str, max_delay: Duration) {
    let hash = name
        .bytes()
        .fold(0u32, |hash, b| hash.wrapping_mul(31).wrapping_add(b.into()));
    let seed = clock::now().as_nanos() as u32;
    let fraction = f64::from(hash.wrapping_add(seed) % 1_000) / 1_000.0;
    tokio::time::sleep(max_delay.mul_f64(fraction)).await;
}
