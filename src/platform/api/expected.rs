/// Precondition of a transaction: the version of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Name of the table.
    pub table: &'static str,
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 means that it must not exist.
    pub version: u64,
}
