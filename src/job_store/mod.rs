//! Submissions on their way into the store: the partitions of its tables and what is sent there when.
//!
//! All decisions take the time as an argument and use neither the network nor the runtime.

mod acceptance;
mod action;
mod answer;
mod batch;
mod class;
mod deletions;
mod partition;
mod partition_queue;
mod place;
mod queue;
mod read_timeout;
mod submission_key;
mod waiting;
mod window;

pub use acceptance::Acceptance;
pub use action::Action;
pub use answer::Answer;
pub use batch::Batch;
pub use class::Class;
pub use deletions::Deletions;
pub use partition::Partition;
pub use place::Place;
pub use queue::Queue;
pub use read_timeout::ReadTimeout;
pub use submission_key::SubmissionKey;
pub use window::Window;
