/// Outcome of one turn of the manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// All work that was possible was done.
    Complete,
    /// Rows were changed by another writer; the next turn reads them again.
    Conflict,
    /// A manager with a newer fencing token has taken over.
    Superseded,
}
