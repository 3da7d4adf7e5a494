//! Names, message formats and calls of the users' platform. This module makes no decisions.
//!
//! Each file converts one kind of message from or to the types of this project. The names used on
//! the wire appear in this folder only.

mod adviser;
mod call;
mod caller;
mod executor;
mod expected;
mod fault;
mod feed;
mod fleet;
mod intent;
mod link;
mod names;
mod outcome;
mod poll;
mod receipt;
mod registration;
mod report;
mod response;
mod row;
mod start;
mod store;
mod submission;
mod task_name;
mod transaction;

pub use adviser::Adviser;
pub use caller::{Caller, Method};
pub use executor::Executor;
pub use expected::Expected;
pub use fault::Fault;
pub use feed::Feed;
pub use fleet::Fleet;
pub use intent::{Intent, decode_intent};
pub use link::Link;
pub use names::{READINESS_PATH, wave_status};
pub use outcome::Outcome;
pub use registration::decode_offer;
pub use response::Response;
pub use row::Row;
pub use store::Store;
pub use submission::decode_submission;
pub use transaction::Transaction;
