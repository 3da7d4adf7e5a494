use std::sync::{Arc, Mutex};

use super::intake::Intake;
use super::outage::Outage;
use crate::clock;
use crate::peer::Hub;
use crate::platform::{Error, Row, Table, Write};

/// Rows of jobs, and whether the table takes calls.
pub(super) struct Store {
    table: Arc<dyn Table>,
    intake: Intake,
    outage: Mutex<Outage>,
}

impl Store {
    /// Makes a store over the rows of `table`. It needs a runtime, for the task that writes.
    pub(super) fn start(table: Arc<dyn Table>, hub: Arc<Hub>) -> Self {
        Self {
            intake: Intake::start(table.clone(), hub),
            table,
            outage: Mutex::default(),
        }
    }

    pub(super) async fn read(&self, key: Arc<str>) -> Result<Option<Row>, Error> {
        let result = self.table.read(key).await;
        self.observe(&result);
        result
    }

    pub(super) async fn scan(
        &self,
        prefix: Arc<str>,
        after: Arc<str>,
        limit: usize,
    ) -> Result<Vec<Row>, Error> {
        let result = self.table.scan(prefix, after, limit).await;
        self.observe(&result);
        result
    }

    /// Applies the writes of one request, or none of them.
    pub(super) async fn write(&self, writes: Vec<Write>) -> Result<(), Error> {
        let result = self.intake.write(writes).await;
        self.observe(&result);
        result
    }

    /// Logs an outage when it begins and when it is over.
    fn observe<T>(&self, result: &Result<T, Error>) {
        let mut outage = self.outage.lock().expect("outage lock");
        let now = clock::now();
        match result {
            Err(error @ Error::Unavailable { .. }) => {
                if outage.refused_at(now) {
                    log::warn!(event = "jobs-unreadable", error:% = error; "");
                }
            }
            // A write that may have taken effect tells neither.
            Err(Error::Unknown { .. }) => {}
            Ok(_) | Err(Error::Conflict { .. }) => {
                if let Some(over) = outage.answered_at(now) {
                    log::warn!(event = "jobs-readable", refused = over.refused(),
                        after_ms = over.length().as_millis(); "");
                }
            }
        }
    }
}
