//! Jobs on the callers' port: `/v1/queues/{queue}/jobs` and `/v1/jobs/{id}`.
//!
//! The id that callers see is `{queue}.{id}`, so that it names the row without an index.

mod caller;
mod cancel;
mod handler;
mod intake;
mod outage;
mod path;
mod read;
mod store;
mod submission;
mod submit;
mod view;

pub use handler::Handler;
pub use outage::Outage;
