//! Time line of one request from the logs of several processes.
//!
//! It reads the lines that processes write, one event of key=value pairs each, and depends on
//! nothing else of the system.

mod entry;
mod timeline;

pub use entry::Entry;
pub use timeline::Timeline;
