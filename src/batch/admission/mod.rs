//! Admission of jobs before they are stored.
//!
//! The leader makes an [`Outlook`] from what waits and runs, and every instance decides by it
//! whether a new job can still be of use to its caller. Whatever the outlook does not show is
//! accepted.

mod arrival;
mod attempt;
mod attempts;
mod backlog;
mod delay;
mod gate;
mod outlook;
mod publication;
mod queue_forecast;
mod reason;
mod refusal;
mod room;
mod supply;
mod throughput;
mod verdict;

pub use arrival::Arrival;
pub use attempt::Attempt;
pub use attempts::Attempts;
pub use backlog::Backlog;
pub use delay::Delay;
pub use gate::Gate;
pub use outlook::Outlook;
pub use publication::Publication;
pub use queue_forecast::QueueForecast;
pub use reason::Reason;
pub use refusal::Refusal;
pub use room::Room;
pub use supply::Supply;
pub use throughput::Throughput;
pub use verdict::Verdict;

/// Multiple of its objective after which a job is of no use to its caller.
pub const USEFUL_FACTOR: u32 = 3;
