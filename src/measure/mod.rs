//! Runs the real decision functions over the shapes of the first users and of the target size, in
//! discrete time without a network, next to a naive baseline.

mod demand;
mod deviation;
mod layout;
mod report;
mod row;
mod run;
mod shape;
mod tally;
mod task;
mod upkeep;
mod world;

pub use report::Report;
pub use row::{Bound, Row};
pub use run::run;
pub use shape::Shape;
