use bytes::Bytes;

/// Answer to one exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}
