//! The operators' port: fleet document, status, metrics and health, served with salvo.

mod fleet;
mod health;
mod level;
mod metrics;
mod plans;
mod role;
mod serve;
mod status;

pub use serve::serve;
