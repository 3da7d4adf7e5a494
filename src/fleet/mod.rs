//! The intended fleet: the document as operators write it and the snapshot that decisions read.
//!
//! A [`Snapshot`] is an arena per kind of thing. Ids come from a [`Registry`] and stay the same
//! over versions for the life of the process, so state kept per id survives a change.

mod budget;
mod data_centre;
mod digest;
mod document;
mod id;
mod key;
mod plan;
mod pool;
mod queue;
mod registry;
mod service;
mod snapshot;
mod team;

pub use budget::Budget;
pub use data_centre::{DataCentre, Direction};
pub use digest::Digest;
pub use document::Document;
pub use id::{DataCentreId, PoolId, QueueId, ServiceId, TeamId};
pub use key::Key;
pub use plan::Plan;
pub use pool::Pool;
pub use queue::Queue;
pub use registry::Registry;
pub use service::Service;
pub use snapshot::Snapshot;
pub use team::Team;
