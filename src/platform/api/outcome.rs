use super::Row;

/// Result of a transaction that the store judged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was applied and has this version.
    Applied(u64),
    /// A condition did not hold; the rows that the conditions name.
    Conflict(Vec<Row>),
}
