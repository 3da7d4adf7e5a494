//! Delay scheduling: whether a task waits for room near its data or its gang, or starts elsewhere at
//! once.
//!
//! This answers the load of many tasks that want the same rack while others have room. Nothing here
//! knows jobs or workers, and nothing is reserved: a task that waits holds no room.

mod choice;
mod decision;
mod release;
mod releases;

pub use choice::Choice;
pub use decision::Decision;
pub use release::Release;
pub use releases::Releases;
