//! Which instance belongs to which pool, availability budgets, and moves between pools.
//!
//! A manager loads a [`State`], derives [`Step`]s from its observations, drafts a [`Change`] and
//! writes it to the table with [`settle()`]. Every change writes the rows of the instances and the
//! rows of their pools in one transaction, each conditional on the version that the decision was
//! based on. An instance therefore belongs to exactly one pool, and every budget holds, even when
//! several managers act at once. The lease of the manager only reduces conflicts.

mod action;
mod assignment;
mod budget;
mod change;
mod check;
mod shortfall;
mod draft;
mod stored_purpose;
mod example;
mod footprint;
mod instance;
mod instance_id;
mod lease;
mod summary;
mod membership;
mod r#move;
mod operation;
mod request;
mod outcome;
mod phase;
mod planner;
mod pool;
mod purpose;
mod rack_id;
mod read;
mod changelog;
mod refusal;
mod reserve;
mod review;
mod roster;
mod rows;
mod commit;
mod observation;
mod state;
mod step;
mod tally;
mod tenure;

pub use action::Action;
pub use assignment::Assignment;
pub use budget::Budget;
pub use change::Change;
pub use shortfall::Shortfall;
pub use stored_purpose::StoredPurpose;
pub use instance::Instance;
pub use instance_id::InstanceId;
pub use lease::{LEASE_TERM, Lease};
pub use summary::Summary;
pub use membership::Membership;
pub use r#move::Move;
pub use operation::Operation;
pub use request::Request;
pub use outcome::Outcome;
pub use phase::Phase;
pub use planner::{Planner, REPLACE_AFTER};
pub use pool::Pool;
pub use purpose::Purpose;
pub use rack_id::RackId;
pub use changelog::Changelog;
pub use refusal::Refusal;
pub use reserve::Reserve;
pub use review::{DRAIN_TIMEOUT, RETURN_TIMEOUT};
pub use roster::Roster;
pub use rows::Rows;
pub(crate) use rows::scan;
pub use commit::commit;
pub use observation::Observation;
pub use state::State;
pub use step::Step;
pub use tally::Tally;
pub use tenure::Tenure;
