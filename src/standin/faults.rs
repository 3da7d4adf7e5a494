use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{Fault, Kind, Request};

#[derive(Default)]
struct Plan {
    outage: bool,
    delay: Duration,
    list_age: Duration,
    cut: BTreeSet<Arc<str>>,
    next: [VecDeque<Fault>; Kind::COUNT],
    /// Prefixes of the rows that queued faults are for; empty means all.
    aims: Vec<Arc<str>>,
}

/// Faults of the store, changeable while it runs.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::standin::{Fault, Kind, Store};
///
/// let store = Store::new();
/// store.faults().set_delay(Duration::from_millis(5));
/// store.faults().inject(Kind::Write, [Fault::Pass, Fault::Lose]);
/// store.faults().cut("entry-1", true);
/// ```
#[derive(Default)]
pub struct Faults {
    plan: Mutex<Plan>,
}

impl Faults {
    /// Refuses every call while `on`.
    ///
    /// ```
    /// coriandernotch::standin::Store::new().faults().set_outage(true);
    /// ```
    pub fn set_outage(&self, on: bool) {
        self.plan().outage = on;
    }

    /// Delays each call by `delay` before its effect.
    ///
    /// ```
    /// coriandernotch::standin::Store::new().faults().set_delay(std::time::Duration::ZERO);
    /// ```
    pub fn set_delay(&self, delay: Duration) {
        self.plan().delay = delay;
    }

    /// Answers the instance list as it was `age` ago.
    ///
    /// ```
    /// coriandernotch::standin::Store::new().faults().set_list_age(std::time::Duration::ZERO);
    /// ```
    pub fn set_list_age(&self, age: Duration) {
        self.plan().list_age = age;
    }

    /// Leaves calls of `client` without effect and without answer while `on`.
    ///
    /// ```
    /// coriandernotch::standin::Store::new().faults().cut("entry-1", true);
    /// ```
    pub fn cut(&self, client: &str, on: bool) {
        let mut plan = self.plan();
        if on {
            plan.cut.insert(client.into());
        } else {
            plan.cut.remove(client);
        }
    }

    /// Queues faults for the next calls of one class, one per call.
    ///
    /// ```
    /// use coriandernotch::standin::{Fault, Kind, Store};
    ///
    /// Store::new().faults().inject(Kind::Read, [Fault::Refuse]);
    /// ```
    pub fn inject(&self, kind: Kind, faults: impl IntoIterator<Item = Fault>) {
        self.plan().next[kind.index()].extend(faults);
    }

    /// Limits queued faults to calls that touch a row under one of `prefixes`, so that calls of
    /// other tasks do not use them up.
    ///
    /// ```
    /// coriandernotch::standin::Store::new().faults().aim(&["fleet/"]);
    /// ```
    pub fn aim(&self, prefixes: &[&str]) {
        self.plan().aims = prefixes.iter().map(|p| (*p).into()).collect();
    }

    /// Removes all faults.
    ///
    /// ```
    /// coriandernotch::standin::Store::new().faults().clear();
    /// ```
    pub fn clear(&self) {
        *self.plan() = Plan::default();
    }

    pub(super) fn delay(&self) -> Duration {
        self.plan().delay
    }

    pub(super) fn list_age(&self) -> Duration {
        self.plan().list_age
    }

    pub(super) fn is_cut(&self, client: &str) -> bool {
        self.plan().cut.contains(client)
    }

    pub(super) fn next(&self, request: &Request) -> Fault {
        let kind = request.kind();
        let mut plan = self.plan();
        if plan.outage {
            return Fault::Refuse;
        }
        if !plan.aims.is_empty() && !plan.aims.iter().any(|aim| touches(request, aim)) {
            return Fault::Pass;
        }
        plan.next[kind.index()].pop_front().unwrap_or(Fault::Pass)
    }

    fn plan(&self) -> std::sync::MutexGuard<'_, Plan> {
        self.plan.lock().expect("faults lock")
    }
}

fn touches(request: &Request, prefix: &str) -> bool {
    match request {
        Request::Read(key) => key.starts_with(prefix),
        Request::Scan {
            prefix: scanned, ..
        } => scanned.starts_with(prefix),
        Request::Transact(writes) => writes.iter().any(|w| w.key.starts_with(prefix)),
        Request::Put(..) | Request::Get(_) | Request::List | Request::Order(_) => false,
    }
}
