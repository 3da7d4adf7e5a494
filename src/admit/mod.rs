//! Admission control: bounded queues of waiting calls, one per workspace, for one service.
//!
//! [`Queues`] chooses the next call when a slot is free and refuses calls that cannot meet their
//! deadline. It has no knowledge of sockets or targets.

mod average;
mod queues;
mod refusal;
mod waiting;

pub use average::Average;
pub use queues::Queues;
pub use refusal::Refusal;
pub use waiting::{Ticket, Waiting};
