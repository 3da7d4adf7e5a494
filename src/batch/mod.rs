//! Scheduling of jobs that run as tasks on workers: submitted jobs, stored state and decisions.
//!
//! An [`Engine`] holds all jobs in progress and the workers that serve them. It sends nothing: its
//! caller carries out each [`Order`] and passes in each [`Snapshot`] and [`Reply`]. Nothing here
//! depends on an encoding or a socket.

mod advice;
mod config;
mod end;
mod ended;
mod engine;
mod fence;
mod job_key;
mod launch;
mod leader;
mod leadership;
mod load;
mod machine;
mod member;
mod member_changes;
mod occupancy;
mod order;
mod profile;
mod progress;
mod question;
mod ranges;
mod record;
mod reply;
mod resolution;
mod route;
mod run_key;
mod running;
mod snapshot;
mod spec;
mod state;
mod step;
mod task_id;
mod tuning;
mod wave;
mod worker_key;
mod workspace;
mod writer;

pub use advice::Advice;
pub use config::Config;
pub use end::End;
pub use ended::Ended;
pub use engine::Engine;
pub use fence::Fence;
pub use job_key::JobKey;
pub use launch::Launch;
pub use leader::Leader;
pub use leadership::{Leadership, Role};
pub use load::Load;
pub use machine::Machine;
pub use member::Member;
pub use member_changes::MemberChanges;
pub use occupancy::Occupancy;
pub use order::Order;
pub use profile::Profile;
pub use progress::Progress;
pub use question::Question;
pub use ranges::Ranges;
pub use record::Record;
pub use reply::Reply;
pub use resolution::Resolution;
pub use route::Route;
pub use run_key::RunKey;
pub use running::Running;
pub use snapshot::Snapshot;
pub use spec::Spec;
pub use state::State;
pub use step::Step;
pub use task_id::TaskId;
pub use tuning::Tuning;
pub use wave::Wave;
pub use worker_key::WorkerKey;
pub use workspace::Workspace;
pub use writer::Writer;
