//! Events of the last hour in one entry instance, bounded in memory.
//!
//! [`Log`] is shared by the tasks of an instance and keeps the events in a [`Ring`]. Repeated
//! refusals are counted, so that an overload cannot push out the event that explains it.

mod entry;
#[expect(
    clippy::module_inception,
    reason = "the module is named after its main type"
)]
mod event;
mod figures;
mod log;
mod refusal;
mod ring;
mod rule;

pub use entry::Entry;
pub use event::{Event, EventKind};
pub use figures::Figures;
pub use log::Log;
pub use refusal::Refusal;
pub use ring::Ring;
pub use rule::rule;

use std::time::Duration;

/// Age at which an event is forgotten.
pub const KEEP: Duration = Duration::from_secs(3600);

/// Time over which refusals for the same reason, workspace and service are one event.
pub const COUNT_OVER: Duration = Duration::from_secs(60);
