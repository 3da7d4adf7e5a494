/// Answer to a connection that asks for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The bytes are charged.
    Granted,
    /// Asked again once another connection has given bytes back.
    Wait,
    /// The connection is evicted.
    Refused,
}
