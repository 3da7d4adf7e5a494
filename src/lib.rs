//! Fleet capacity and maintenance manager.
//!
//! Entry instances stand between callers and targets. Each holds a [`fleet::Snapshot`] of the
//! intended fleet and decides from it and from what it has heard of its peers.
//!
//! ```
//! use coriandernotch::fleet::{Document, Registry, Snapshot};
//!
//! let text = r#"{"name": "f", "data-centres": [], "workspaces": [], "pools": []}"#;
//! let document: Document = serde_json::from_str(text).unwrap();
//! assert_eq!(Snapshot::build(1, document.into(), &mut Registry::default()).version(), 1);
//! ```

pub mod admit;
mod arena_id;
pub mod batch;
pub mod call;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod collections;
pub mod config;
pub mod control;
pub mod demo;
pub mod document;
pub mod entry;
pub mod event;
pub mod explain;
pub mod fleet;
pub mod front;
pub mod intake;
pub mod job_store;
pub mod jobs;
pub mod limit;
pub mod measure;
pub mod node;
pub mod peer;
pub mod plans;
pub mod platform;
pub mod pools;
pub mod random;
pub mod route;
pub mod settings;
pub mod standin;
pub mod telemetry;
pub mod wire;
