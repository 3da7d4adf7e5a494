//! The demonstration: stand-ins and entry instances in one process, a load, faults, and a check of
//! each rule on what the stand-ins recorded.

mod audit;
mod bed;
mod bound;
mod caller;
mod client;
mod jobs;
mod journal;
mod plan;
mod report;
mod rule;
mod run;
mod script;
mod submitter;
mod summary;
mod tally;
mod ticket;
mod timeline;
mod watch;
mod work;

pub use bed::Bed;
pub use client::{Client, Reply};
pub use jobs::check_jobs;
pub use plan::Plan;
pub use rule::Rule;
pub use run::run;
pub use summary::Summary;
pub use tally::Tally;
pub use timeline::Timeline;
