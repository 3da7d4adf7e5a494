use super::Expected;

/// Changes to one partition that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Name of the partition.
    pub part: String,
    /// Row versions on which the transaction depends.
    pub expected: Vec<Expected>,
    /// Table, key and content of rows to write.
    pub puts: Vec<(&'static str, String, Vec<u8>)>,
    /// Table and key of rows to delete.
    pub deletes: Vec<(&'static str, String)>,
}
