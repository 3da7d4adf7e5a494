//! Names, message formats and calls of the users' platform. This module makes no decisions.
//!
//! Each file converts one kind of message from or to the types of this project. The names used on
//! the wire appear in this folder only.

mod adviser;
mod call;
mod defect;
mod fault;
mod feed;
mod fleet;
mod intent;
mod link;
mod names;
mod outcome;
mod poll;
mod precondition;
mod protocol;
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
mod worker;

pub use adviser::Adviser;
pub use defect::Defect;
pub use fault::Fault;
pub use feed::Feed;
pub use fleet::Fleet;
pub use intent::{Intent, decode_intent};
pub use link::Link;
pub use names::{READINESS_PATH, wave_status};
pub use outcome::Outcome;
pub use precondition::Precondition;
pub use protocol::{Operation, Protocol};
pub use registration::decode_registration;
pub use response::Response;
pub use row::Row;
pub use store::Store;
pub use submission::decode_submission;
pub use transaction::Transaction;
pub use worker::Worker;
