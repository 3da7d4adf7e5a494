use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use super::Target;
use crate::collections::Map;
use crate::platform::{Action, Command};

/// Time for which a rebooting instance is away unless a test sets another.
const REBOOT_TIME: Duration = Duration::from_millis(500);

/// Machines on which the instances of the list run.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::standin::{Store, Target};
///
/// let store = Store::new();
/// store.machines().add("w-1", Target::new());
/// store.machines().set_reboot_time(Duration::from_millis(10));
/// assert!(store.machines().accepted().is_empty());
/// ```
pub struct Machines {
    state: Mutex<State>,
}

struct State {
    targets: Map<Arc<str>, Arc<Target>>,
    reboot_time: Duration,
    newest: u64,
    accepted: Vec<Command>,
    rebooted: Vec<Arc<str>>,
}

impl Machines {
    pub(super) fn new() -> Self {
        Self {
            state: Mutex::new(State {
                targets: Map::default(),
                reboot_time: REBOOT_TIME,
                newest: 0,
                accepted: Vec::new(),
                rebooted: Vec::new(),
            }),
        }
    }

    /// Adds the target that an instance runs; it is off while the instance reboots.
    pub fn add(&self, instance: &str, target: Arc<Target>) {
        self.state().targets.insert(instance.into(), target);
    }

    /// Sets how long a reboot takes.
    pub fn set_reboot_time(&self, time: Duration) {
        self.state().reboot_time = time;
    }

    /// Lists the accepted orders, repeated ones too.
    pub fn accepted(&self) -> Vec<Command> {
        self.state().accepted.clone()
    }

    /// Lists the instances that rebooted, in the order of their starts.
    ///
    /// ```
    /// assert!(coriandernotch::standin::Store::new().machines().rebooted().is_empty());
    /// ```
    pub fn rebooted(&self) -> Vec<Arc<str>> {
        self.state().rebooted.clone()
    }

    /// Takes an order unless its token is too old.
    pub(super) fn accept(&self, command: &Command) -> bool {
        let mut state = self.state();
        if command.token < state.newest {
            return false;
        }
        state.newest = command.token;
        state.accepted.push(command.clone());
        true
    }

    /// Turns the target of an instance off; returns how long the reboot takes.
    pub(super) fn begin(&self, instance: &Arc<str>) -> Duration {
        let mut state = self.state();
        state.rebooted.push(instance.clone());
        if let Some(target) = state.targets.get(instance) {
            target.set_power(false);
        }
        state.reboot_time
    }

    pub(super) fn end(&self, instance: &Arc<str>) {
        if let Some(target) = self.state().targets.get(instance) {
            target.set_power(true);
        }
    }

    /// Returns the incarnation that an order ends.
    pub(super) fn ends(command: &Command) -> Option<u64> {
        match command.action {
            Action::Reboot(incarnation) => Some(incarnation),
            Action::Drain => None,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("machines lock")
    }
}
