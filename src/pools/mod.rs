//! Which instance belongs to which pool, availability budgets, and moves between pools.
//!
//! A manager loads a [`State`], derives [`Step`]s from its observations, drafts a [`Change`] and
//! writes it to the table with [`commit()`]. Every change writes the rows of the instances and the
//! rows of their pools in one transaction, each conditional on the version that the decision was
//! based on. An instance therefore belongs to exactly one pool, and every budget holds, even when
//! several managers act at once. The lease of the manager only reduces conflicts.

mod action;
mod assignment;
mod budget;
mod change;
mod changelog;
mod check;
mod commit;
mod draft;
mod example;
mod footprint;
mod instance;
mod instance_id;
mod lease;
mod membership;
mod r#move;
mod observation;
mod operation;
mod outcome;
mod phase;
mod planner;
mod pool;
mod purpose;
mod rack_id;
mod read;
mod refusal;
mod request;
mod reserve;
mod review;
mod roster;
mod rows;
mod shortfall;
mod state;
mod step;
mod stored_purpose;
mod summary;
mod tally;
mod tenure;

pub use action::Action;
pub use assignment::Assignment;
pub use budget::Budget;
pub use change::Change;
pub use changelog::Changelog;
pub use commit::commit;
pub use instance::Instance;
pub use instance_id::InstanceId;
pub use lease::{LEASE_TERM, Lease};
pub use membership::Membership;
pub use r#move::Move;
pub use observation::Observation;
pub use operation::Operation;
pub use outcome::Outcome;
pub use phase::Phase;
pub use planner::{Planner, REPLACE_AFTER};
pub use pool::Pool;
pub use purpose::Purpose;
pub use rack_id::RackId;
pub use refusal::Refusal;
pub use request::Request;
pub use reserve::Reserve;
pub use review::{DRAIN_TIMEOUT, RETURN_TIMEOUT};
pub use roster::Roster;
pub use rows::Rows;
pub(crate) use rows::scan;
pub use shortfall::Shortfall;
pub use state::State;
pub use step::Step;
pub use stored_purpose::StoredPurpose;
pub use summary::Summary;
pub use tally::Tally;
pub use tenure::Tenure;
