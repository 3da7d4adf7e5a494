use super::Expected;

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
