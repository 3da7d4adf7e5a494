//! Maintenance plans: every instance is drained and rebooted once in a period.
//!
//! Plans take their steps through [`crate::pools::State`], so they share the availability budgets
//! with moves and with failures. The [`Manager`] takes them in an order in which failures are
//! recorded first, so that nothing is started on a budget that they have used up.

mod calendar;
mod command;
mod health;
mod manager;
pub mod measure;
mod pace;
mod plan;
mod progress;
mod record;
mod standing;
mod status;
mod survey;
mod turn;
mod view;
mod wait;
mod wave;
mod window;

pub use calendar::Calendar;
pub use command::command;
pub use health::{Health, RECOVERY};
pub use manager::Manager;
pub use pace::Pace;
pub use plan::Plan;
pub use progress::Progress;
pub use record::Record;
pub use standing::Standing;
pub use status::Status;
pub use survey::Survey;
pub use turn::Turn;
pub use view::View;
pub use wait::Wait;
pub use wave::Wave;
pub use window::Window;
