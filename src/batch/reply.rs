use strum::IntoStaticStr;

/// Outcome of a start order.
#[derive(Clone, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reply {
    /// The worker has the run.
    Started,
    /// The worker has seen a newer leader.
    Fenced,
    /// The worker has seen this or a higher run number of the task.
    Stale,
    /// The deadline of the order had passed on the worker's clock.
    Late,
    /// The worker has not enough free capacity.
    Full,
    /// The ticket is missing or not valid.
    Unadvised,
    /// The worker reports itself as unhealthy and did nothing.
    Unhealthy,
    /// A different worker process answered at the address.
    Replaced,
    /// The worker could not interpret the order.
    Rejected,
    /// The order was not sent.
    Unsent,
    /// It is unknown whether the order was carried out.
    Unknown,
}
