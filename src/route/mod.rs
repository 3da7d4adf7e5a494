//! Choice of a target inside the pool of a service.
//!
//! [`Targets`] holds what one entry instance knows of the targets of one service: its own running
//! calls, what peers report, and each target's [`Health`]. It depends on no socket; tasks tell it
//! how calls ended.

mod health;
mod ramp;
mod tag;
mod target;
mod targets;
mod verdict;

pub use health::Health;
pub use ramp::Ramp;
pub use tag::Tag;
pub use target::{Target, TargetId};
pub use targets::Targets;
pub use verdict::Verdict;
