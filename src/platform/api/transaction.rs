use super::Row;

/// A row that a transaction expects, by table and key; version 0 means that it must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Table.
    pub table: &'static str,
    /// Key.
    pub key: String,
    /// Version.
    pub version: u64,
}

/// Changes that are applied all or not at all, in one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Partition.
    pub part: String,
    /// Conditions.
    pub expected: Vec<Expected>,
    /// Table, key and content of rows to write.
    pub puts: Vec<(&'static str, String, Vec<u8>)>,
    /// Table and key of rows to delete.
    pub deletes: Vec<(&'static str, String)>,
}

/// Result of a transaction that the store judged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was applied and has this version.
    Applied(u64),
    /// A condition did not hold; the rows that the conditions name.
    Conflict(Vec<Row>),
}
