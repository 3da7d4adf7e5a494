//! Small fakes of the systems outside the product, for tests and for the demonstration.
//!
//! [`Store`] holds the state of the platform services, [`Handle`] is the in-process client of it
//! and [`platform::serve`] offers it over HTTP. [`Target`] is a back end and [`Worker`] a machine
//! that runs jobs. None of them is part of the product and none persists anything.

mod client;
mod counters;
mod data;
mod failure;
mod fault;
mod faults;
mod http;
mod kind;
mod machines;
pub mod platform;
mod reply;
mod request;
mod serve;
mod store;
pub mod target;
pub mod worker;

pub use client::Handle;
pub use counters::{Count, Counters};
pub use failure::Failure;
pub use fault::Fault;
pub use faults::Faults;
pub use kind::Kind;
pub use machines::Machines;
pub use reply::Reply;
pub use request::Request;
pub use store::Store;
pub use target::Target;
pub use worker::Worker;
