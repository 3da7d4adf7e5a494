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
