/// How a turn of the manager ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Everything that could be done was done.
    Complete,
    /// Rows changed meanwhile; the next turn reads them again.
    Conflict,
    /// A manager with a newer fencing token has taken over.
    Superseded,
}
