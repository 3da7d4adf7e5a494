//! Counters and histograms of the process, in the text format of Prometheus, and the bound on its
//! log.
//!
//! Whoever measures something uses the macros of the `metrics` crate; the names of what several
//! parts record are here. Front ends serve [`render`] on the address of their settings.

mod job;
mod limit;
mod near;
mod order;
mod recorder;

pub use job::count_job;
pub use limit::Limit;
pub use near::count_near;
pub use order::{OrderInFlight, count_order, record_start_time};
pub use recorder::{install, render};
