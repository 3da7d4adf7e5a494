use std::sync::Arc;

use super::meter::Meters;
use super::{Connections, Limits, jobs};
use crate::call::Dispatcher;
use crate::claim;
use crate::intake::Registry;

/// What the connections of the callers' port share.
pub struct Port {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) claims: Arc<claim::Manager>,
    pub(super) connections: Arc<Connections>,
    pub(super) meters: Meters,
    pub(super) limits: Limits,
    registry: Arc<Registry>,
    pub(super) jobs: Option<Arc<jobs::Handler>>,
}

impl Port {
    /// Makes a port that dispatches through `dispatcher` and, if given, takes jobs.
    pub fn new(
        dispatcher: Arc<Dispatcher>,
        claims: Arc<claim::Manager>,
        limits: Limits,
        jobs: Option<Arc<jobs::Handler>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            jobs,
            dispatcher,
            claims,
            connections: Arc::default(),
            meters: Meters::default(),
            limits,
            registry: Registry::new(limits.intake()),
        })
    }

    /// Returns the claims of calls with an idempotency key.
    pub fn claims(&self) -> &Arc<claim::Manager> {
        &self.claims
    }

    /// Returns what bounds the connections of the process.
    pub fn registry(&self) -> &Arc<Registry> {
        &self.registry
    }

    /// Returns the idle connections to targets.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }
}
