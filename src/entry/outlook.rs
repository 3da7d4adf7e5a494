//! The outlook in the table of leaders: the leader writes it with a renewal, and every instance
//! follows it with the leader row.

use super::candidate::Candidate;
use super::row::{self, LEADERS, OUTLOOK_KEY};
use super::shared::unix_time_ms;
use super::term::Term;
use crate::batch::admission::{Outlook, Publication};
use crate::clock::{self, Instant};
use crate::platform::api::Row;

/// Returns the row of an outlook.
pub(super) fn put(outlook: &Outlook) -> (&'static str, String, Vec<u8>) {
    (LEADERS, OUTLOOK_KEY.into(), row::encode(outlook))
}

impl Candidate {
    /// Returns the outlook to write with a renewal, if there is one to write.
    pub(super) fn next_outlook(
        &self,
        term: &Term,
        publication: &Publication,
        now: Instant,
    ) -> Option<Outlook> {
        if !self.shared.settings.refuse_late_jobs || !publication.may_publish(now) {
            return None;
        }
        let store_ms = self.shared.store.clock_ms(now)?;
        let outlook = {
            let mut engine = term.engine();
            if engine.uncontacted_count() > 0 {
                return None;
            }
            engine.outlook(store_ms, unix_time_ms(), now)
        };
        publication.is_due(&outlook, now).then_some(outlook)
    }

    /// Records a changed row if it is the outlook.
    pub(super) fn observe_outlook(&mut self, row: &Row) {
        let is_outlook = row.part.is_empty() && &*row.key == OUTLOOK_KEY;
        if !is_outlook || row.version <= self.outlook_version {
            return;
        }
        self.outlook_version = row.version;
        let Some(content) = &row.content else {
            return;
        };
        if let Some(outlook) = row::decode(&row.key, content) {
            self.take_outlook(outlook, clock::now());
        }
    }

    /// Decides about jobs by an outlook from now on.
    pub(super) fn take_outlook(&self, outlook: Outlook, now: Instant) {
        let mut admission = self.shared.admission.lock().expect("admission lock");
        admission.receive(outlook, now);
    }
}
