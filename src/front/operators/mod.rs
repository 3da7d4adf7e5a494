//! The operators' port: fleet document, status, metrics and health, served with salvo.

mod change;
mod check;
mod conflict;
mod console;
mod events;
mod fleet;
mod guard;
mod health;
mod history;
mod keys;
mod level;
mod metrics;
mod openapi;
mod plans;
mod reapply;
mod reply;
mod role;
mod route;
mod scope;
mod serve;
mod status;

pub use route::Route;
pub use serve::serve;
