//! Submissions on their way into the store: the partitions of its tables and what is sent there when.
//!
//! All decisions take the time as an argument and use neither the network nor the runtime.

mod deletions;
mod partition;
mod place;

pub use deletions::Deletions;
pub use partition::Partition;
pub use place::Place;
