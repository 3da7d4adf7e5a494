use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{Leader, Leadership, Occupancy};

use coriandernotch::clock::Instant;

use crate::loading::Loading;
use crate::outage::Outage;
use crate::process::Process;
use crate::term::Term;

/// An instance: a candidate for leadership that may lead.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) name: Arc<str>,
    pub(crate) process: Process,
    pub(crate) up: bool,
    pub(crate) leadership: Leadership,
    /// Number of the last write of the leader row by this process.
    pub(crate) last_write: u64,
    /// Leader row as the instance knows it, and its version.
    pub(crate) leader: Leader,
    pub(crate) row_version: u64,
    /// Whether the next read of the leader row is the first one or follows a failure.
    pub(crate) reads_anew: bool,
    /// Workers that the previous leader handed over, and whether it resigned.
    pub(crate) inherited: Vec<Occupancy>,
    pub(crate) resigned: bool,
    /// When the present term began.
    pub(crate) begun: Instant,
    pub(crate) loading: Option<Loading>,
    pub(crate) term: Option<Term>,
    pub(crate) store_outage: Option<Outage>,
    /// What affects the calls for the list of machines.
    pub(crate) machines_outage: Option<Outage>,
    /// For each worker, what affects the calls to it.
    pub(crate) worker_outages: Vec<Option<Outage>>,
}

impl Instance {
    pub(crate) fn new(instance: usize, workers: usize) -> Self {
        Self {
            name: format!("e-{instance}").into(),
            process: Process {
                instance,
                life: 0,
                term: 0,
            },
            up: false,
            leadership: Leadership::default(),
            last_write: 0,
            leader: Leader::default(),
            row_version: 0,
            reads_anew: true,
            inherited: Vec::new(),
            resigned: false,
            begun: Instant::default(),
            loading: None,
            term: None,
            store_outage: None,
            machines_outage: None,
            worker_outages: vec![None; workers],
        }
    }

    /// Begins a new process, or ends the present one.
    pub(crate) fn replace_process(&mut self, up: bool) {
        let process = Process {
            life: self.process.life + 1,
            ..self.process
        };
        *self = Self {
            name: self.name.clone(),
            process,
            up,
            store_outage: self.store_outage,
            machines_outage: self.machines_outage,
            worker_outages: self.worker_outages.clone(),
            ..Self::new(process.instance, 0)
        };
    }

    /// Returns whether no fault affected the calls to the store for a second before `at`.
    pub(crate) fn is_in_touch(&self, at: Instant) -> bool {
        let outage = self.store_outage;
        outage.is_none_or(|outage| outage.until + Duration::from_secs(1) < at)
    }

    /// Aborts all that goes on in the present term or candidacy.
    pub(crate) fn abort_tasks(&mut self) {
        self.process.term += 1;
        (self.loading, self.term) = (None, None);
    }
}
