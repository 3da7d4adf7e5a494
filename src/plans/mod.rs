//! Maintenance plans: every instance of a pool is drained and rebooted once per period.
//!
//! Plans change instances through [`crate::pools::State`], so maintenance, moves and failures all
//! count against the same availability budgets. The [`Manager`] records failures before it starts
//! anything, so that no work starts on budget that failures have already used up.

mod blocker;
mod calendar;
mod estimate;
mod health;
mod input;
mod manager;
mod overview;
mod plan;
mod progress;
mod record;
mod set_status;
pub mod simulation;
mod status;
mod summary;
mod turn;
mod wave;
mod window;

pub use blocker::Blocker;
pub use calendar::Calendar;
pub use estimate::Estimate;
pub use health::{Health, RECOVERY_TIME};
pub use input::Input;
pub use manager::Manager;
pub use overview::Overview;
pub use plan::Plan;
pub use progress::Progress;
pub use record::Record;
pub use set_status::set_status;
pub use status::Status;
pub use summary::Summary;
pub use turn::Turn;
pub use wave::Wave;
pub use window::Window;
