//! One entry instance: its ports, its tasks and its shutdown.
//!
//! Most files hold one task that runs until the instance stops; [`Node`] starts them all. The
//! others hold the state that the tasks share, and what the operators' port asks of it.

mod apply;
mod assignments;
mod audit;
mod borrow;
mod fetch;
mod head;
mod history;
mod instances;
mod inventory;
mod join;
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
mod tick;
mod voters;
mod work;

pub use apply::Applied;
pub use audit::Audit;
pub use history::{Page, Past};
pub use node::Node;
use observer::Observer;
pub use shared::Shared;
