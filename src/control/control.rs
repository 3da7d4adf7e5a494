use std::sync::{Arc, Mutex, MutexGuard};

use super::applied::Applied;
use crate::call::Dispatcher;
use crate::clock::Instant;
use crate::config::{Ack, Prepare, Presence, State, Voter};
use crate::event::Event;
use crate::fleet::{Registry, Snapshot};
use crate::limit::{Ledger, Terms};

/// Configuration of one entry instance and what depends on it.
pub struct Control {
    inner: Mutex<Inner>,
    dispatcher: Arc<Dispatcher>,
    own: Voter,
    data_centre: Arc<str>,
}

struct Inner {
    state: State,
    presence: Presence,
    registry: Registry,
    /// What the dispatcher enforces, the version in force first.
    applied: Vec<Applied>,
}

impl Control {
    /// Makes the control of the life `own` of an instance in `data_centre`, and its dispatcher.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::Voter;
    /// use coriandernotch::control::Control;
    ///
    /// let control = Control::new(Voter::new("a", 1), "lima-1", Instant::default());
    /// assert!(control.current().is_none());
    /// ```
    pub fn new(own: Voter, data_centre: &str, now: Instant) -> Self {
        Self {
            dispatcher: Dispatcher::new(Ledger::new(own.clone())),
            inner: Mutex::new(Inner {
                state: State::new(own.clone(), now),
                presence: Presence::default(),
                registry: Registry::default(),
                applied: Vec::new(),
            }),
            own,
            data_centre: data_centre.into(),
        }
    }

    /// Returns this life of the instance.
    pub fn own(&self) -> &Voter {
        &self.own
    }

    /// Returns the dispatcher.
    pub fn dispatcher(&self) -> &Arc<Dispatcher> {
        &self.dispatcher
    }

    /// Returns the snapshot in force.
    pub fn current(&self) -> Option<Arc<Snapshot>> {
        self.dispatcher.enforced().first().cloned()
    }

    /// Reads the state without changing it.
    pub fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.lock().state)
    }

    /// Runs `act` on the evidence of which instances have ended.
    pub fn with_presence<T>(&self, act: impl FnOnce(&mut Presence) -> T) -> T {
        act(&mut self.lock().presence)
    }

    /// Runs `act` on the state and puts what follows from it into force.
    pub fn act<T>(&self, now: Instant, act: impl FnOnce(&mut State) -> T) -> T {
        let mut inner = self.lock();
        let out = act(&mut inner.state);
        self.apply(&mut inner, now);
        out
    }

    /// Answers a proposal; an acknowledgement is given only once the proposal is enforced.
    pub fn prepare(&self, prepare: &Prepare, now: Instant) -> Ack {
        let mut inner = self.lock();
        let inner = &mut *inner;
        let Ok(applied) = Applied::read(&prepare.version, &mut inner.registry) else {
            return Ack::Invalid;
        };
        // The ledger refuses a change that does not follow its version.
        if !self
            .dispatcher
            .with_ledger(|ledger| ledger.prepare(&applied.terms, now))
        {
            inner.state.on_prepare(now, prepare);
            self.apply(inner, now);
            return Ack::Busy;
        }
        let ack = inner.state.on_prepare(now, prepare);
        if !inner
            .state
            .pending()
            .iter()
            .any(|p| p.prepare.operation() == applied.operation)
        {
            self.dispatcher
                .with_ledger(|ledger| ledger.abandon(applied.terms.id()));
        }
        self.apply(inner, now);
        ack
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("control lock")
    }

    /// Passes on versions that came or went, then how long the configuration is known to be
    /// current. In this order, so that no work is admitted under a version that is not enforced.
    fn apply(&self, inner: &mut Inner, now: Instant) {
        let enforced = inner.state.enforced().map(|v| v.head.operation);
        if !enforced.eq(inner.applied.iter().map(|a| a.operation)) {
            self.enforce(inner, now);
        }
        let until = inner.state.fresh_until().unwrap_or_default();
        self.dispatcher.set_fresh_until(until);
    }

    fn enforce(&self, inner: &mut Inner, now: Instant) {
        let mut applied = Vec::new();
        for version in inner.state.enforced() {
            let known = inner
                .applied
                .iter()
                .find(|a| a.operation == version.head.operation);
            match known
                .cloned()
                .map_or_else(|| Applied::read(version, &mut inner.registry), Ok)
            {
                Ok(version) => applied.push(version),
                Err(problems) => {
                    // Without its document a version cannot be obeyed, so nothing is admitted.
                    let problem = problems
                        .first()
                        .map(ToString::to_string)
                        .unwrap_or_default();
                    log::error!(event = "version-unreadable", version = version.head.version,
                        problem:% = problem; "");
                    applied.clear();
                    break;
                }
            }
        }
        self.pass_to_ledger(inner, &applied, now);
        let snapshots: Arc<[Arc<Snapshot>]> = applied.iter().map(|a| a.snapshot.clone()).collect();
        log::info!(event = "version-enforced", versions:? =
            snapshots.iter().map(|s| s.version()).collect::<Vec<_>>(); "");
        if let Some((first, pending)) = snapshots.split_first() {
            let event = Event::InForce {
                version: first.version(),
                pending: pending.iter().map(|s| s.version()).collect(),
            };
            self.dispatcher.events().add(now, event);
        }
        self.dispatcher.enforce(snapshots, &self.data_centre, now);
        inner.applied = applied;
    }

    fn pass_to_ledger(&self, inner: &Inner, applied: &[Applied], now: Instant) {
        let gone = |a: &&Applied| applied.iter().all(|b| b.operation != a.operation);
        self.dispatcher.with_ledger(|ledger| {
            if let Some(first) = applied.first() {
                ledger.install(&first.terms, now);
            }
            let pending: Vec<&Terms> = applied.iter().skip(1).map(|a| &a.terms).collect();
            for terms in &pending {
                ledger.prepare(terms, now);
            }
            for old in inner.applied.iter().filter(gone) {
                if pending.iter().all(|terms| terms.id() != old.terms.id()) {
                    ledger.abandon(old.terms.id());
                }
            }
        });
    }
}
