use std::time::Duration;

use crate::fault::Fault;

/// An instance in a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// The instance that leads with the highest fencing token at that moment.
    Leader,
    /// All instances except that one.
    Followers,
    All,
}

/// Something that happens to an instance, the store or a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// The leader is killed and starts again after this time.
    Crash(Duration),
    /// The leader stops in an orderly way and starts again after this time.
    Resign(Duration),
    /// The leader makes way for another instance.
    Transfer,
    /// Calls to the store are affected by a fault.
    DisturbStore {
        target: Target,
        fault: Fault,
        percent: u64,
        spares_reads: bool,
        lasts: Duration,
    },
    /// Calls to one worker are affected by a fault.
    DisturbWorker {
        target: Target,
        worker: usize,
        fault: Fault,
        percent: u64,
        lasts: Duration,
    },
    /// The store discards the history of its changes.
    DiscardHistory,
    /// The registration of a worker expires, and it cannot register for this time.
    ExpireRegistration { worker: usize, lasts: Duration },
    /// Calls for the list of machines are affected by a fault.
    DisturbMachineList {
        target: Target,
        fault: Fault,
        percent: u64,
        lasts: Duration,
    },
    /// A worker and its machine are lost for good, and the address is silent from then on.
    LoseWorker {
        worker: usize,
        /// Time until the platform no longer lists the machine.
        listed_for: Duration,
        /// Time until the registration expires.
        registered_for: Duration,
    },
    /// A worker process ends and another one starts after `down`.
    RestartWorker {
        worker: usize,
        down: Duration,
        /// Whether the new process has the id of the old one.
        keeps_id: bool,
        /// Whether calls get no answer meanwhile. Otherwise they are refused, and those in progress
        /// fail at once.
        silent: bool,
    },
}

impl Action {
    /// Replaces a worker by one with another id after `down`.
    pub(crate) fn replace_worker(worker: usize, down: Duration) -> Self {
        Self::RestartWorker {
            worker,
            down,
            keeps_id: false,
            silent: false,
        }
    }

    /// Cuts off a worker from some instances.
    pub(crate) fn cut_off(worker: usize, target: Target, lasts: Duration) -> Self {
        Self::DisturbWorker {
            target,
            worker,
            fault: Fault::Silent,
            percent: 100,
            lasts,
        }
    }

    /// Loses the writes of the leader to the store, and the answers to them.
    pub(crate) fn lose_writes_of_leader(lasts: Duration) -> Self {
        Self::DisturbStore {
            target: Target::Leader,
            fault: Fault::Silent,
            percent: 100,
            spares_reads: true,
            lasts,
        }
    }
}
