use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::StatusCode;

use crate::clock::Instant;

/// What a caller saw of one call.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) id: Arc<str>,
    pub(super) workspace: Arc<str>,
    pub(super) service: Arc<str>,
    pub(super) key: Arc<str>,
    pub(super) idempotent: bool,
    pub(super) sent: Instant,
    pub(super) took: Duration,
    /// Status and outcome, or `None` when the connection broke.
    pub(super) answer: Option<(StatusCode, String)>,
    /// Whether the body was the echo of what was sent.
    pub(super) whole: bool,
}

/// All calls of a run.
#[derive(Debug, Default)]
pub(super) struct Journal(Mutex<Vec<Entry>>);

impl Journal {
    pub(super) fn add(&self, entry: Entry) {
        self.0.lock().expect("journal lock").push(entry);
    }

    pub(super) fn take(&self) -> Vec<Entry> {
        std::mem::take(&mut *self.0.lock().expect("journal lock"))
    }
}
