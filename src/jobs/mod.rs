//! Job scheduling: which job runs on which worker and when, and what happens after a failure.
//!
//! A [`Scheduler`] holds one queue and is the only place that changes the state of its jobs. It
//! does no I/O: its caller carries out each [`Start`] and [`Action`] and reports the result.

mod action;
mod counters;
mod data_centre;
mod fairness;
mod fence;
mod id;
mod job;
mod lease;
mod outcome;
mod ownership;
mod placement;
mod policy;
mod progressive_filling;
mod quarantine;
mod rack;
mod reason;
mod record;
mod retry;
mod scheduler;
mod size;
mod sizing;
mod spec;
mod standing;
mod start;
mod state;
mod tuning;
mod worker;

pub use action::Action;
pub use counters::Counters;
pub use fairness::Fairness;
pub use fence::Fence;
pub use id::{JobId, KindId, RackId, WorkerId};
pub use job::Job;
pub use lease::Lease;
pub use outcome::Outcome;
pub use ownership::{Owner, Ownership};
pub use placement::Placement;
pub use policy::Policy;
pub use progressive_filling::progressive_filling;
pub use quarantine::Quarantine;
pub use reason::Reason;
pub use record::{Record, unix_time_ms};
pub use retry::Retry;
pub use scheduler::Scheduler;
pub use size::Size;
pub use sizing::Sizing;
pub use spec::Spec;
pub use standing::Standing;
pub use start::Start;
pub use state::State;
pub use tuning::Tuning;
pub use worker::Worker;
