//! The declared fleet: the [`Document`] that operators write and the [`Snapshot`] built from it
//! for lookups.
//!
//! A [`Snapshot`] has one arena for each kind of object. Ids come from a [`Registry`] and stay the
//! same across versions until the process exits, so state that is kept per id survives a change
//! of the document.

mod budget;
mod check;
mod data_centre;
mod diff;
mod difference;
mod digest;
mod document;
mod effect;
mod effects;
mod id;
mod key;
mod plan;
mod pool;
mod queue;
mod registry;
mod secret;
mod service;
mod shape;
mod snapshot;
mod workspace;

pub use budget::Budget;
pub use data_centre::{DataCentre, Direction};
pub use diff::diff;
pub use difference::Difference;
pub use digest::Digest;
pub use document::Document;
pub use effect::Effect;
pub use effects::effects;
pub use id::{DataCentreId, PoolId, QueueId, ServiceId, WorkspaceId};
pub use key::Key;
pub use plan::Plan;
pub use pool::Pool;
pub use queue::Queue;
pub use registry::Registry;
pub use secret::Secret;
pub use service::Service;
pub use snapshot::Snapshot;
pub use workspace::Workspace;

use crate::document::{Faults, Problem, Shape, conform, convert, load};

/// Reads and validates a fleet document.
///
/// # Errors
///
/// Returns all problems found in the document.
///
/// ```
/// use coriandernotch::fleet;
///
/// let text = include_str!("../../examples/huallaga.jsonc");
/// assert_eq!(fleet::parse("huallaga.jsonc", text).unwrap().data_centres.len(), 3);
/// let problems = fleet::parse("fleet.jsonc", "{\"name\": 5}").unwrap_err();
/// assert_eq!(problems.last().unwrap().field, "name");
/// ```
pub fn parse(file: &str, text: &str) -> Result<Document, Vec<Problem>> {
    let (tree, mut faults): (_, Faults) = load(file, text)?;
    conform(&tree, shape(), &mut faults);
    check::check(&tree, &mut faults);
    convert(&tree, faults)
}

/// Returns the fields that a fleet document accepts.
///
/// ```
/// assert!(coriandernotch::fleet::shape().field("pools").is_some());
/// ```
pub fn shape() -> &'static Shape {
    &shape::DOCUMENT
}
