//! Limits of the store on rows and transactions.

/// Largest content of a row, in bytes.
pub const MAX_ROW_BYTES: usize = 65_536;

/// Largest sum of the contents of the rows that one transaction puts, in bytes. The store takes
/// transactions of 1 MB, in which contents are written in Base64 and each row has a key.
pub const MAX_TRANSACTION_BYTES: usize = 700_000;

/// Size that the lists of one row take at most, in bytes. The rest of a row is left for its other
/// fields.
pub(crate) const MAX_LIST_BYTES: usize = 60_000;

/// Returns the size of a value in a row, in bytes.
///
/// ```
/// assert_eq!(coriandernotch::batch::row_bytes(&[1, 20]), "[1,20]".len());
/// ```
///
/// # Panics
///
/// Panics if the value is no row type: those serialise to JSON.
pub fn row_bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value)
        .expect("row types serialise to JSON")
        .len()
}
