//! The callers' port: `/v1/services/{service}/{path}` and the jobs of [`jobs`].

mod accept;
mod activity;
mod answer;
mod body;
mod body_fault;
mod bound;
mod cause;
mod claimed;
mod connections;
mod dial;
mod exchange;
mod flight;
mod guard;
mod hold;
pub mod jobs;
mod kept;
mod limits;
mod meter;
mod note;
mod place;
mod port;
mod reply;
mod request;
mod send;
mod serve;
mod socket;
mod stream;
mod tracked;

pub use answer::Fault;
pub use body::Body;
pub use connections::Connections;
pub use limits::Limits;
pub use port::Port;
pub use serve::serve;
