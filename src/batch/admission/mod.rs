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
mod forecast;
mod gate;
mod outlook;
mod publication;
mod reason;
mod supply;
mod throughput;
mod verdict;

pub use arrival::Arrival;
pub use attempt::Attempt;
pub use attempts::Attempts;
pub use backlog::Backlog;
pub use delay::Delay;
pub use forecast::Forecast;
pub use gate::Gate;
pub use outlook::Outlook;
pub use publication::Publication;
pub use reason::Reason;
pub use supply::Supply;
pub use throughput::Throughput;
pub use verdict::Verdict;
