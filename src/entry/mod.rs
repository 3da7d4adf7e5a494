//! Entry instances, which accept jobs from callers and run them on the workers of the platform.
//!
//! Each instance serves callers and keeps jobs in the store of the platform. One instance at a time
//! is the leader: it holds the [`crate::batch::Engine`] and sends orders to the workers. Each task
//! runs one loop or serves one connection. Decisions are in [`crate::batch`], the protocols of the
//! platform in [`crate::platform::api`].

mod admin_port;
mod admit;
mod advise;
mod call;
mod caller_port;
mod candidate;
mod changes;
mod commit;
mod committer;
mod delete;
mod desired;
mod drain;
mod flush;
mod follow_desired;
mod follow_jobs;
mod follow_workers;
mod handover;
mod instance;
mod job_row;
mod lag;
mod lead;
mod limits;
mod listing;
mod load;
mod load_term;
mod maintenance;
mod orders;
mod outlook;
mod partition;
mod poll;
mod reach;
mod readiness;
mod recipient;
mod renew;
mod row;
mod schedule;
mod settings;
mod shared;
mod signals;
mod start_run;
mod submission;
mod supervise;
mod telemetry;
mod term;
mod transfer;
mod write;

pub use instance::run;
pub use limits::Limits;
pub use settings::{Bounds, Settings};
pub use supervise::supervise;
