use bytes::Bytes;

/// HTTP response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}
