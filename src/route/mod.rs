//! Load balancing of calls over the targets of a service.
//!
//! [`Targets`] holds the state that one entry instance keeps about the targets of one service: the
//! running calls it dispatched itself, those that its peers report, and the [`Health`] of each
//! target. It uses no sockets; the tasks that send the calls report how each one ended.

mod health;
mod name_hash;
mod ramp;
mod target;
mod targets;
mod verdict;

pub use health::Health;
pub use name_hash::NameHash;
pub use ramp::Ramp;
pub use target::{Target, TargetId};
pub use targets::Targets;
pub use verdict::Verdict;
