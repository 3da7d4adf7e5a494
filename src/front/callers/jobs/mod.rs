//! Jobs on the callers' port: `/v1/queues/{queue}/jobs` and `/v1/jobs/{id}`.
//!
//! The id that callers see is `{queue}.{id}`, so that it names the row without an index.

mod answer;
mod caller;
mod cancel;
mod context;
mod handler;
mod id;
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
