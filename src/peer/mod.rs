//! Connections between entry instances.
//!
//! Each pair of instances has one connection, made by the one whose name comes first, and one task
//! on each side. The [`Hub`] knows the connected peers and passes what they say to the decision
//! modules.

mod ask;
mod backoff;
mod dial;
mod handle;
mod hub;
mod link;
mod listen;
mod member;
mod report;
mod session;
mod signals;

pub use backoff::Backoff;
pub use dial::dial;
pub use hub::{CANDIDATES, Hub};
pub use link::Link;
pub use listen::listen;
pub use member::Member;
pub use signals::Signals;
