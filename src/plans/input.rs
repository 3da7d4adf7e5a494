use std::sync::Arc;

use super::Calendar;
use crate::fleet::Document;
use crate::platform::Instance;
use crate::pools::{self, Observation, Tenure};

/// Inputs of the manager for one turn.
#[derive(Clone, Copy)]
pub struct Input<'a> {
    /// Tenure of the manager, which carries its fencing token, from [`crate::pools::Lease`].
    pub tenure: &'a Tenure,
    /// Conversion from the monotonic clock to Unix time.
    pub calendar: &'a Calendar,
    /// Fleet document in force.
    pub document: &'a Arc<Document>,
    /// Instances that the platform lists.
    pub listing: &'a [Instance],
    /// Returns the last observation of an instance, or `None` when nothing is known of it.
    pub sight: &'a (dyn Fn(&pools::Instance) -> Option<Observation> + Sync),
}
