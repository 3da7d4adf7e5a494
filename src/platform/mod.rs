//! Access to the platform: table service, object store, instance list and machines.
//!
//! The traits are the interface between this process and the platform. Modules that make decisions
//! never call them; only tasks that own a connection or a loop do.

pub mod api;
mod command;
mod condition;
mod error;
pub mod http;
mod instance;
mod listing;
mod machines;
mod objects;
mod row;
mod table;
mod write;

use std::sync::Arc;

pub use command::{Action, Command};
pub use condition::Condition;
pub use error::Error;
pub use instance::{Instance, State};
pub use listing::Listing;
pub use machines::Machines;
pub use objects::Objects;
pub use row::Row;
pub use table::Table;
pub use write::Write;

use futures_util::future::BoxFuture;

/// Future result of a platform call, boxed so that the traits are usable as trait objects.
pub type Answer<'a, T> = BoxFuture<'a, Result<T, Error>>;

/// Handles to the platform services.
#[derive(Clone)]
pub struct Platform {
    /// Transactional table service.
    pub table: Arc<dyn Table>,
    /// Object store.
    pub objects: Arc<dyn Objects>,
    /// List of instances, which may be stale.
    pub listing: Arc<dyn Listing>,
    /// Drains and reboots of the listed instances.
    pub machines: Arc<dyn Machines>,
}
