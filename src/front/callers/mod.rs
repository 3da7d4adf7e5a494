//! The callers' port: `/v1/services/{service}/{path}` and the jobs of [`jobs`].

mod answer;
mod body;
mod claimed;
mod connections;
mod exchange;
mod flight;
mod guard;
mod hold;
pub mod jobs;
mod kept;
mod limits;
mod meter;
mod reply;
mod request;
mod serve;

pub use body::Body;
pub use connections::Connections;
pub use limits::Limits;
pub use serve::{Port, serve};
