/// Outcome of a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The run is there.
    Started,
    /// A newer leader has given orders to the worker.
    Fenced,
    /// The worker has seen this number of a run, or a higher one.
    Stale,
    /// The deadline had passed on the clock of the worker.
    Late,
    /// The worker has no room.
    Full,
    /// The ticket does not hold.
    Unadvised,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another worker answers at the address.
    Replaced,
    /// The worker did not understand the order.
    Rejected,
    /// Nothing was sent.
    Unsent,
    /// Whether the order was carried out is not known.
    Unknown,
}
