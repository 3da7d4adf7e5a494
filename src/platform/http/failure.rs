/// Failure of an exchange on one connection.
pub(super) enum Failure {
    /// No byte of the request was sent.
    Unsent(String),
    /// The request was sent, at least in part.
    Sent(String),
}
