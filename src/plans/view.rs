use std::sync::Arc;

use super::Calendar;
use crate::fleet::Document;
use crate::platform::Instance;
use crate::pools::{self, Sight, Tenure};

/// What a manager goes by in one turn.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// Fencing token of the manager, from [`crate::pools::Lease`].
    pub tenure: &'a Tenure,
    /// Relation of the clock to the time of day.
    pub calendar: &'a Calendar,
    /// Document in force.
    pub document: &'a Arc<Document>,
    /// The platform's list.
    pub listing: &'a [Instance],
    /// What was last seen of an instance, `None` when nothing is known.
    pub sight: &'a (dyn Fn(&pools::Instance) -> Option<Sight> + Sync),
}
