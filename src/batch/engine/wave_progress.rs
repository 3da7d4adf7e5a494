use std::sync::Arc;

use crate::batch::Wave;
use crate::clock::Instant;
use crate::collections::{Map, Set};

/// A machine that is being emptied for maintenance, or is down for it.
#[derive(Clone, Debug)]
pub(super) struct Maintenance {
    /// Service of its worker; empty if it had none.
    pub(super) service: Arc<str>,
    /// Id of its worker; empty if it had none.
    pub(super) worker: Arc<str>,
    /// Start time of the latest worker process on the machine, in milliseconds since 1970.
    pub(super) born_ms: u64,
    pub(super) since: Instant,
}

/// Progress of one maintenance wave.
#[derive(Clone, Debug)]
pub(super) struct WaveProgress {
    pub(super) wave: Wave,
    pub(super) emptying: Map<Arc<str>, Maintenance>,
    pub(super) down: Map<Arc<str>, Maintenance>,
    /// Machines whose maintenance has begun.
    pub(super) done: Set<Arc<str>>,
    /// Machines whose maintenance was refused, and when it may be tried again.
    pub(super) refused_until: Map<Arc<str>, Instant>,
    /// Last reported state: whether the wave is complete.
    pub(super) reported_complete: Option<bool>,
}

impl WaveProgress {
    pub(super) fn new(wave: Wave) -> Self {
        Self {
            wave,
            emptying: Map::default(),
            down: Map::default(),
            done: Set::default(),
            refused_until: Map::default(),
            reported_complete: None,
        }
    }

    /// Returns whether a machine may be chosen now.
    pub(super) fn may_be_chosen(&self, machine: &Arc<str>, now: Instant) -> bool {
        !self.done.contains(machine)
            && !self.emptying.contains_key(machine)
            && self
                .refused_until
                .get(machine)
                .is_none_or(|until| *until <= now)
    }

    /// Returns whether a machine is being emptied or is down.
    pub(super) fn is_in_progress(&self, machine: &Arc<str>) -> bool {
        self.emptying.contains_key(machine) || self.down.contains_key(machine)
    }

    /// Returns whether a machine of the wave has not been maintained yet.
    pub(super) fn is_due(&self, machine: &Arc<str>) -> bool {
        !self.done.contains(machine) && self.wave.machines.contains(machine)
    }

    /// Counts the machines of a service that are being emptied or are down.
    pub(super) fn count_in_progress(&self, service: &Arc<str>) -> usize {
        let maintenance = self.emptying.values().chain(self.down.values());
        maintenance
            .filter(|maintenance| maintenance.service == *service)
            .count()
    }
}
