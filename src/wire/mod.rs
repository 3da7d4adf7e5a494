//! Messages between entry instances.
//!
//! Each message is a [`Frame`] with a length in front of it (4 bytes, big endian). A frame that
//! asks carries an id which its reply repeats. Message types only carry data; conversions to and
//! from the types of [`crate::config`] and [`crate::limit`] refuse what those cannot hold.

mod ack;
mod affirmation;
mod body;
mod borrow;
mod fetch;
mod fetched;
mod frame;
mod give_back;
mod hello;
mod lent;
mod position;
mod prepare;
mod renew;
mod report;
mod revision;

pub use ack::Ack;
pub use affirmation::Affirmation;
pub use body::Body;
pub use borrow::Borrow;
pub use fetch::Fetch;
pub use fetched::Fetched;
pub use frame::{Frame, Malformed};
pub use give_back::Return;
pub use hello::Hello;
pub use lent::Lent;
pub use position::Position;
pub use prepare::Prepare;
pub use renew::Renew;
pub use report::Report;
pub use revision::Revision;

use tokio_util::codec::LengthDelimitedCodec;

/// Version of the messages; instances with another one do not talk to each other.
pub const PROTOCOL: u32 = 1;

/// Longest frame in bytes: the longest fleet document with room for the head around it.
pub const MAX_FRAME: usize = (4 << 20) + (64 << 10);

/// Makes the codec that splits a connection into frames.
///
/// ```
/// assert_eq!(coriandernotch::wire::codec().max_frame_length(), coriandernotch::wire::MAX_FRAME);
/// ```
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}
