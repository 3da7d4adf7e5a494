use super::Row;

/// Result of a transaction that the store applied or rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The transaction was applied and received this version.
    Applied(u64),
    /// A condition did not hold; contains the rows named by the conditions.
    Conflict(Vec<Row>),
}
