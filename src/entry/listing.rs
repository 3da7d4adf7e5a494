use std::sync::Arc;

use crate::batch::Profile;
use crate::collections::Set;
use crate::platform::api::{Row, decode_registration};

/// Maximum number of invalid entries that are remembered; further ones are not logged.
const MAX_REPORTED: usize = 1_000;

/// Reads the list of workers and logs each invalid entry once.
#[derive(Debug, Default)]
pub(super) struct Listing {
    /// Keys of the invalid entries that were logged.
    reported: Set<Arc<str>>,
}

impl Listing {
    /// Decodes an entry. Returns `None` if it was deleted or names no worker.
    pub(super) fn decode(&mut self, row: &Row) -> Option<Profile> {
        let Some(content) = &row.content else {
            self.reported.remove(&row.key);
            return None;
        };
        match decode_registration(&row.key, content) {
            Ok(profile) => {
                self.reported.remove(&row.key);
                Some(profile)
            }
            Err(defect) => {
                if self.reported.len() < MAX_REPORTED && self.reported.insert(row.key.clone()) {
                    log::warn!(event = "registration-invalid", worker = row.key,
                        reason:% = defect; "");
                }
                None
            }
        }
    }
}
