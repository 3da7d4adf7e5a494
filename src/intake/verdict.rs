/// Answer to a connection that asks for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The bytes are charged.
    Granted,
    /// Asked again once another connection has given bytes back.
    Wait,
    /// The connection gives way.
    Refused,
}
