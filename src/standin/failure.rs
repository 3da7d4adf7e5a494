use std::sync::Arc;

/// Why the store gave no regular answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Refused before any effect.
    Refused,
    /// No answer; the effect may have taken place.
    Lost,
    /// A condition of a transaction failed at this row.
    Conflict(Arc<str>),
}
