use super::Key;

/// Answer to a connection that asks for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection has a place.
    Admitted(Key),
    /// Asked again once another connection has ended.
    Wait,
}
