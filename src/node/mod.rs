//! One entry instance: its ports, its tasks and its shutdown.
//!
//! Each file but [`Node`]'s own holds one task that runs until the instance stops.

mod apply;
mod borrow;
mod fetch;
mod follow;
mod join;
mod list;
mod members;
#[expect(
    clippy::module_inception,
    reason = "the module is named after its main type"
)]
mod node;
mod shared;
mod shutdown;
mod tick;
mod vote;
mod work;

pub use apply::Applied;
pub use node::Node;
pub use shared::Shared;
