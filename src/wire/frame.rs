use bytes::Bytes;
use prost::Message;

use super::Body;

/// One message on a peer connection.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Number of a question, repeated in its reply; 0 when none is expected.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// True for a reply.
    #[prost(bool, tag = "2")]
    pub reply: bool,
    /// Content.
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25"
    )]
    pub body: Option<Body>,
}

impl Frame {
    /// Makes a frame that expects no reply.
    ///
    /// ```
    /// use coriandernotch::wire::{Body, Frame};
    ///
    /// let frame = Frame::tell(Body::Pull(true));
    /// assert_eq!(Frame::read(&frame.write()).unwrap(), frame);
    /// ```
    pub fn tell(body: Body) -> Self {
        Self {
            id: 0,
            reply: false,
            body: Some(body),
        }
    }

    /// Encodes the frame without its length.
    pub fn write(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Decodes a frame without its length.
    ///
    /// # Errors
    ///
    /// The bytes are no frame.
    pub fn read(bytes: &[u8]) -> Result<Self, Malformed> {
        Self::decode(bytes).map_err(|_| Malformed("frame"))
    }
}

/// A message that does not hold what its type needs; names the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("step=decode part={0}")]
pub struct Malformed(pub &'static str);
