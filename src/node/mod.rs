//! One entry instance: its ports, its tasks and its shutdown.
//!
//! Each file but [`Node`]'s own holds one task that runs until the instance stops.

mod apply;
mod assign;
mod audit;
mod borrow;
mod fetch;
mod follow;
mod history;
mod join;
mod list;
mod manage;
mod members;
#[expect(
    clippy::module_inception,
    reason = "the module is named after its main type"
)]
mod node;
mod observer;
mod plans;
mod shared;
mod shutdown;
mod sightings;
mod tick;
mod vote;
mod work;

pub use apply::Applied;
pub use audit::Audit;
pub use history::{Page, Past};
pub use node::Node;
use observer::Observer;
pub use shared::Shared;
